#!/usr/bin/env bash
# Prepares the stand-ins of the cases of REPORT-3.md. They are Python modules
# of the test kit and of this folder, so there is nothing to compile: this
# checks that they can be imported with what the deploy file's build installs.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:packages/testkit/src:review
python3 -B -c 'import deployment_3, sassafrasridge_testkit.linegroup'
