#!/usr/bin/env bash
# Builds the stand-ins of the second review, cases 6 to 10. It needs the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin-2
