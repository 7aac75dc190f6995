PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install demo figures test lint format fuzz measure slopes known-red

install: $(STAMP)

$(STAMP): requirements.txt packages/core/pyproject.toml packages/node/pyproject.toml packages/cli/pyproject.toml packages/testkit/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-deps -e packages/core -e packages/node -e packages/cli -e packages/testkit
	touch $(STAMP)

test: install
	$(BIN)/python -m pytest

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .
	$(BIN)/mypy packages/core/src
	$(BIN)/lint-imports

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: install
	$(BIN)/python -m sassafrasridge_testkit.demo

figures: install
	$(BIN)/python -m sassafrasridge_testkit.figures
