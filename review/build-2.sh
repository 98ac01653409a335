#!/usr/bin/env bash
# Builds what the scripts of the second review start: the stand-ins and clients in review/_cases, as one program. It needs no
# network: the program uses the standard library only. The daemon is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/cases ./review/_cases
