#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python sources that need only target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review platform/tests/adapter/standin
