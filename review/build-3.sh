#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review. The build of the deploy
# file must have run before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
CGO_ENABLED=1 go build -o target/review/platform-3 ./review/11/platform
