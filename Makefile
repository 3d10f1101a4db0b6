PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: install demo test lint fuzz bench bench-capacity

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: install
	$(BIN)/python -m tools.demo

test: install
	$(BIN)/python -m tools.testing

lint: install
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/mypy

fuzz: install
	$(BIN)/python -m tools.testing --long

bench: install
	$(BIN)/python -m tools.bench

bench-capacity: install
	$(BIN)/python -m tools.bench_capacity
