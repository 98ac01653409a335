#!/usr/bin/env bash
# Builds what the scripts of the third review start: the stand-ins and clients in review/_cases3, as one program. It needs no
# network: the program uses the standard library only. The daemon is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/cases ./review/_cases3
