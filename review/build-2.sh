#!/bin/sh
# Builds what the cases 6 to 10 start beside the node itself; after the build of the deploy file, with the
# package mirrors at hand. The stand-ins of these cases are Python files that need nothing but the standard
# library; the control servers and the service file need what the project names for them.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/pip -q --disable-pip-version-check install -r requirements-rehearsal.txt
.venv/bin/python -m compileall -q review/standins2
