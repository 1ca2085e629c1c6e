PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.endivegw-ready
export PYTHONPATH := src
SOURCES := src tests benchmarks tools

.PHONY: docs dev test check format bench bench-decisions bench-budgets bench-requests \
	bench-configuration capacity soak protos clean

$(STAMP): requirements/dev.txt requirements/run.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements/dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

dev: $(STAMP)
	$(BIN)/python -m endivegw dev

test: $(STAMP)
	$(BIN)/python -m tests

check: $(STAMP)
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/isort --quiet --check-only $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy src/endivegw src/endivegw_standins
	$(BIN)/python -m tools.import_rules

format: $(STAMP)
	$(BIN)/isort --quiet $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)

bench: $(STAMP)
	$(BIN)/python -m benchmarks.path

docs: $(STAMP)
	$(BIN)/python -m tools.event_catalogue

bench-configuration: $(STAMP)
	$(BIN)/python -m benchmarks.configuration --seed 1

clean:
	rm -rf .mypy_cache .hypothesis results build dist

bench-decisions: $(STAMP)
	$(BIN)/python -m benchmarks.decisions --json results/decisions.json
	$(BIN)/python -m benchmarks.decisions_cost
capacity: $(STAMP)
	$(BIN)/python -m benchmarks.capacity
bench-requests: $(STAMP)
	$(BIN)/python -m benchmarks.requests

bench-budgets: $(STAMP)
	$(BIN)/python -m benchmarks.budgets
	$(BIN)/python -m benchmarks.budgets --sweep

SOAK_EXAMPLES ?= 2000
SOAK_SEED ?= 1

soak: $(STAMP)
	ENDIVEGW_SOAK_EXAMPLES=$(SOAK_EXAMPLES) ENDIVEGW_SOAK_STEPS=50 \
	ENDIVEGW_SOAK_SEED=$(SOAK_SEED) $(BIN)/python -m tests tests.test_budgets_machine
