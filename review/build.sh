#!/bin/sh
# Builds the stand-ins of the cases: they are Python files that need the deploy file's .venv and nothing else.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/common review/1 review/2 review/3
