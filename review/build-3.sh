#!/bin/sh
# Builds the stand-ins of the scripts, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/standin-3
