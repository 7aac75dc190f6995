PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

# Runs COUNT consecutive seeds, starting at SEED if it is set. "COUNT=1 SEED=n"
# repeats one run.
COUNT ?= 5
soak: install
	$(BIN)/python -m sassafrasridge_testkit.soak --count $(COUNT) $(if $(SEED),--seed $(SEED))

.PHONY: soak install demo test lint format fuzz known-red measure figures slopes capacity

install: $(STAMP)

$(STAMP): requirements.txt packages/core/pyproject.toml packages/node/pyproject.toml packages/cli/pyproject.toml packages/testkit/pyproject.toml platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-deps -e packages/core -e packages/node -e packages/cli -e packages/testkit -e platform
	touch $(STAMP)

test: install
	$(BIN)/python -m pytest

# Uses random seeds; SEED repeats one failed run.
SECONDS ?= 120
fuzz: install
	PYTHON=$(BIN)/python .ci/fuzz $(SECONDS) $(SEED)

# Runs only the tests that KNOWN-RED.txt lists, and fails if one of them fails.
known-red: install
	$(BIN)/python -m pytest --known-red

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .
	$(BIN)/mypy packages/core/src
	$(BIN)/lint-imports

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

slopes: install
	$(BIN)/python -m sassafrasridge_testkit.slopes --plots docs/slopes

capacity: install
	$(BIN)/python -m sassafrasridge_testkit.capacity

demo: install
	$(BIN)/python -m sassafrasridge_testkit.demo

# SCENARIO limits the run to one scenario; SEED sets the seed. Both optional.
measure: install
	$(BIN)/python -m sassafrasridge_testkit.measure $(if $(SCENARIO),--scenario $(SCENARIO)) $(if $(SEED),--seed $(SEED))

figures: install
	$(BIN)/python -m sassafrasridge_testkit.figures
