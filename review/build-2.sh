#!/usr/bin/env bash
# The cases of this review are days for the bench. None has a script, so there is no
# stand-in to build.
set -euo pipefail
