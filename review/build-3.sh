#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start: those of the
# first review, the project's own, and deployment_3.py. They need the build of
# the deploy file, which provides their libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
bash review/build.sh
python3 -m compileall -q packages/testkit/src review/deployment_3.py \
    review/{11,12,13}/case.py
PYTHONPATH=target/deps:packages/testkit/src \
    python3 -c 'import sassafrasridge_testkit.linegroup'
