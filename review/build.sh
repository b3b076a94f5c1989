#!/bin/sh
# Builds the stand-in that the scripts of the review start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -o target/review/standin ./review/_standin
