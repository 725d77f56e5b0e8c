PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
WHEELS_STAMP := $(VENV)/.wheels_checked

.PHONY: setup run test format lint types imports wheels unit hostile clean

setup: $(STAMP)

$(STAMP): requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes --requirement requirements-dev.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/orchidpath fleet run examples/vinbrug.toml

test: format lint types imports wheels unit hostile

format: $(STAMP)
	$(BIN)/ruff format --check .

lint: $(STAMP)
	$(BIN)/ruff check .

types: $(STAMP)
	$(BIN)/mypy

imports: $(STAMP)
	$(BIN)/lint-imports

wheels: $(WHEELS_STAMP)

$(WHEELS_STAMP): $(STAMP) deploy/requirements.lock deploy/check_wheels.sh
	sh deploy/check_wheels.sh $(BIN)/python
	touch $@

unit: $(STAMP)
	$(BIN)/python -m pytest -n 4 --ignore tests/hostile

hostile: $(STAMP)
	$(BIN)/python -m pytest tests/hostile

clean:
	rm -rf $(VENV) .mypy_cache .pytest_cache .ruff_cache
