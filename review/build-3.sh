#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/rig ./review/_rig
