#!/bin/sh
# Builds the stand-ins of the cases of the second review. The program itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/rig ./review/_rig-2/platform
