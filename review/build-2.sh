#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They need the
# build of the deploy file, which provides their libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q packages/testkit/src review/deployment_2.py review/servers_2.py
PYTHONPATH=target/deps:packages/testkit/src \
    python3 -c 'import sassafrasridge_testkit.linegroup'
