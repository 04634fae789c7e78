PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: environment format lint test ci dist clean

environment: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

format: $(STAMP)
	$(BIN)/ruff check -q --fix .
	$(BIN)/ruff format -q .

lint: $(STAMP)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

test: $(STAMP)
	$(BIN)/python scripts/run_tests.py

ci: lint test

clean:
	rm -rf $(VENV) build dist
