# Build, test, lint and run. Everything lands in .venv.

PYTHON ?= python3

.PHONY: build all test lint format run demo clean measure-fleet measure-orders measure-decisions measure-listing \
	measure-node measure-fair measure-emulator measure-agreement measure-drain measure-schedules \
	measure-places measure-rollout measure-gates measure-plan measure-soak measure-flood

# What a node needs, and no more: the platform calls this.
build: .venv/built
	.venv/bin/python -m compileall -q oakkeel

# With the agent and the command line.
all: build .venv/all

.venv/all: requirements-all.txt requirements.txt pyproject.toml
	.venv/bin/pip -q install -r requirements-all.txt
	.venv/bin/pip -q install --no-deps -e .
	touch $@

.venv/built: requirements.txt
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch $@

test: all
	.venv/bin/python -m tests

.venv/lint: requirements-lint.txt .venv/all
	.venv/bin/pip -q install -r requirements-lint.txt
	touch $@

lint: all .venv/lint
	.venv/bin/ruff format --check oakkeel tests measure
	.venv/bin/ruff check oakkeel tests measure
	.venv/bin/mypy oakkeel measure
	.venv/bin/codespell oakkeel tests measure docs README.md CHANGELOG.md Makefile .ci

format: all .venv/lint
	.venv/bin/ruff format oakkeel tests measure

# One node; PROXY_CONFIG names its configuration (see README.md).
run: build
	.venv/bin/python -m oakkeel

# A small fleet on loopback; FOR=10s lets it end by itself.
demo: all
	.venv/bin/python -m oakkeel demo $(if $(FOR),--for $(FOR))

# Measurements: each prints one last line with its result. JSON=FILE keeps the figures.
measure-fleet measure-orders measure-decisions measure-listing measure-fair measure-emulator measure-agreement \
measure-drain measure-schedules measure-places measure-rollout measure-gates measure-plan measure-flood: all
	.venv/bin/python -m measure.$(@:measure-%=%) $(if $(JSON),--json $(JSON)) $(MORE)

# A node with drawn peers and disruptions: SEED=n, FOR=seconds in all, RUN=seconds for each seed, WITHOUT=kind,kind.
measure-soak: all
	.venv/bin/python -m measure.soak $(if $(SEED),--seed $(SEED)) $(if $(FOR),--seconds $(FOR)) \
		$(if $(RUN),--run $(RUN)) $(if $(WITHOUT),--without $(WITHOUT)) $(if $(JSON),--json $(JSON)) $(MORE)

# BEFORE=FOLDER, a checkout of the version to compare with.
measure-node: all
	$(if $(BEFORE),.venv/bin/python -m compileall -q $(BEFORE)/oakkeel)
	.venv/bin/python -m measure.node $(if $(BEFORE),--before $(BEFORE)) $(if $(JSON),--json $(JSON))

clean:
	rm -rf .venv
