#!/bin/sh
# Builds the stand-ins of the cases. Run it in the repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
