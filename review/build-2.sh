#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start: those of the
# earlier review, the project's own, and the ones beside this file. They need
# the build of the deploy file, which provides their libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
bash review/build.sh
python3 -m compileall -q packages/testkit/src review/deployment_2.py \
    review/servers_2.py review/{6,7,8,9,10}/case.py
PYTHONPATH=target/deps:packages/testkit/src \
    python3 -c 'import sassafrasridge_testkit.linegroup'
