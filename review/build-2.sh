#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.  They are Python and run by the deploy file's .venv: nothing is compiled,
# and this checks that they and the project's own stand-ins can be imported there.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=.:review/common-2 .venv/bin/python -c "import gateusher.standins.wire, stage"
