# The two commands of a newcomer: `make try` and `make test`.

.PHONY: try test test-busy bench check check-all

.venv/made: requirements.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch $@

try: .venv/made
	.venv/bin/python -m gateusher try

test: .venv/made
	sh .ci/test

test-busy: .venv/made
	.venv/bin/python -m tests.busy

bench: .venv/made
	.venv/bin/python -m bench.library
	.venv/bin/python -m bench.daemon

check: .venv/made
	.venv/bin/python -m checker check

check-all: .venv/made
	.venv/bin/python -m checker mutants --workers 8 --deep 256
