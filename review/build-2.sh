#!/usr/bin/env bash
# Builds the programs that play the operator, the clients, the instances and the platform
# in the scripts of cases 6 and 9. The programs under review come from the build of the
# deploy file. The other cases are days for the bench.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/review-replacement ./review/6/platform
CGO_ENABLED=1 go build -o target/review-stop ./review/9/platform
