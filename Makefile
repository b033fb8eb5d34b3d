# Build, test, lint and run. Everything lands in .venv.

PYTHON ?= python3

.PHONY: build test lint run clean

build: .venv/built
	.venv/bin/python -m compileall -q oakkeel

.venv/built: requirements.txt
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch $@

test: build
	.venv/bin/python -m unittest discover -s tests -t . -v

lint: build
	.venv/bin/pip -q install ruff==0.17.6 mypy==2.4.1
	.venv/bin/ruff check oakkeel tests
	.venv/bin/mypy oakkeel

# One node; PROXY_CONFIG names its configuration (see README.md).
run: build
	.venv/bin/python -m oakkeel

clean:
	rm -rf .venv
