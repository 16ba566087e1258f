#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start, after the build of the deploy file:
# the stand-ins are Python and need nothing beside what that build put into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:platform/tests:packages/testing/src:packages/core/src
export PYTHONPATH="$PYTHONPATH:packages/relay/src"
python3 -m compileall -q packages/core/src packages/relay/src packages/testing/src \
  platform/src platform/tests/adapter review/common-2
for case in review/6 review/7 review/8 review/9 review/10; do
  [ ! -d "$case" ] || python3 -m compileall -q "$case"
done
python3 -c "import adapter.deployment, adapter.caller
import adapter.standin.store, adapter.standin.server
import lacewingcourse.testing.footprint"
