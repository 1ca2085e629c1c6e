#!/usr/bin/env bash
# Prepare the cases 4 to 8: build the stand-ins that their scripts start.
# Run after the build of the deploy file; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
# The stand-ins are Python modules: those of the project and those of review/common2.
# They use the libraries of the deploy file's build.
PYTHONPATH=src:target/deps:review python3 -c "import common2.deployment"
