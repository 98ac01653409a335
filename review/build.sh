#!/bin/sh
# Builds every stand-in that the scripts of the cases start.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
