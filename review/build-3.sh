#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. Run it from the root, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/platform ./review/_rig-3/platform
