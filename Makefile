# Commands for people and CI. Needs only python3.11 and make.
PYTHON ?= python3.11
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: setup test lint demo format playground

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

lint: setup
	$(VENV)/bin/ruff format --check src tests .ci/check_pages.py
	$(VENV)/bin/ruff check src tests .ci/check_pages.py
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports
	$(VENV)/bin/vulture
	$(VENV)/bin/python .ci/check_pages.py

format: setup
	$(VENV)/bin/ruff format src tests .ci/check_pages.py
	$(VENV)/bin/ruff check --fix src tests .ci/check_pages.py

test: setup
	$(VENV)/bin/python tests/run.py

demo: setup
	$(VENV)/bin/python -m passlane.bench.demo $(if $(KILL_NODE),--kill-node $(KILL_NODE))

playground: setup
	$(VENV)/bin/python -m passlane.bench.playground
