PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: capacity check-dist ci clean demo dist environment format gateway-incident \
	incident lab limits-lab lint parts-lab prove rest-lab soak test

environment: $(STAMP)

$(STAMP): requirements.lock requirements-dev.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock -r requirements-dev.lock
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

# The file needs Python 3.11 and a writable directory, which can be in memory
# (SHIV_ROOT, by default ~/.shiv).
dist: $(STAMP)
	rm -rf build dist/rattanwick
	mkdir -p dist
	$(BIN)/shiv -q -o dist/rattanwick -c rattanwick --reproducible \
		-p "/usr/bin/env python3" --no-deps --no-build-isolation \
		-r requirements.lock .

check-dist: dist
	$(BIN)/python scripts/check_dist.py

demo: $(STAMP)
	$(BIN)/python scripts/demo.py

prove: $(STAMP)
	$(BIN)/python -m spec
	PYTHONPATH=src:. $(BIN)/python -m scenarios

incident: $(STAMP)
	$(BIN)/python -m bench.incident

# Plays a fault in front of gateway nodes and explains a request that failed.
gateway-incident: $(STAMP)
	PYTHONPATH=src:. $(BIN)/python -m bench.gateway_incident

# Gateway nodes under random faults; one fresh seed, or SEEDS=1-50.
# OPTIONS=--planned-only for planned work alone.
soak: $(STAMP)
	PYTHONPATH=src:. $(BIN)/python -m soak $(if $(SEEDS),--seeds $(SEEDS)) $(OPTIONS)

# Plays the plan of endpoints on 40 drawn deployments, in some seconds.
lab: $(STAMP)
	PYTHONPATH=src:. $(BIN)/python -m bench.capacity_lab

# Simulates nodes that share the limit of an endpoint, in half a minute.
limits-lab: $(STAMP)
	PYTHONPATH=src:. $(BIN)/python -m bench.limits_lab

# Simulates nodes before endpoints that ask for a rest, in half a minute.
rest-lab: $(STAMP)
	PYTHONPATH=src:. $(BIN)/python -m bench.rest_lab

# Simulates nodes before endpoints that crash on a part of prompts, in some minutes.
parts-lab: $(STAMP)
	PYTHONPATH=src:. $(BIN)/python -m bench.parts_lab

# About 12 minutes; starts up to 50 processes on loopback.
capacity: $(STAMP)
	PYTHONPATH=src:. $(BIN)/python -m bench.capacity

clean:
	rm -rf $(VENV) build dist
