#!/bin/sh
# After the build of the deploy file. The stand-ins are Python and need no compiler; what the cases' service files
# and control servers need are the packages that the project declares for them (requirements-rehearsal.txt).
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import pydantic, msgspec' 2>/dev/null \
    || .venv/bin/pip -q --disable-pip-version-check install -r requirements-rehearsal.txt
.venv/bin/python -m compileall -q review
