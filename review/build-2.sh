#!/usr/bin/env bash
# Builds the program that plays the operator in the script of case 6. The programs under
# review come from the build of the deploy file. The other cases are days for the bench.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/review-replacement ./review/6/platform
