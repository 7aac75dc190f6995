#!/usr/bin/env bash
# Installs the packages and dependencies of the deployed roles in target/deps,
# and compiles what a process would otherwise compile at each start.
set -euo pipefail
deps=target/deps
if ! [ "$deps/.installed" -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
    touch "$deps/.installed"
fi
for folder in packages/core/src/sassafrasridge_core \
    packages/node/src/sassafrasridge_node \
    platform/src/sassafrasridge_platform; do
    rm -rf "$deps/$(basename "$folder")"
    cp -r "$folder" "$deps/"
done
PYTHONPATH="$deps" python3 -m sassafrasridge_node.idl
python3 -m compileall -q "$deps"/sassafrasridge_*
