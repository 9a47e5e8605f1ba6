#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The program itself is built by the line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig ./review/_rig/platform
