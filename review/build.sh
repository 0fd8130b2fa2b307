#!/usr/bin/env bash
# Builds the program that plays the clients, the instances and the platform in the
# scripts of the cases. The programs under review come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/review-harness ./review/platform
