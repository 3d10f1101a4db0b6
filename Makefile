PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PIP := $(BIN)/pip install --quiet --no-compile --disable-pip-version-check

.PHONY: install install-dev demo test lint fuzz soak bench bench-capacity

# The demo is a new user's first command, so it waits only for the libraries that it runs on.
install: $(VENV)/.installed

install-dev: $(VENV)/.installed-dev

$(VENV)/.installed: pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(PIP) --requirement requirements.lock
	$(PIP) --no-deps --editable .
	touch $@

$(VENV)/.installed-dev: $(VENV)/.installed requirements-dev.lock
	$(PIP) --requirement requirements-dev.lock
	touch $@

demo: install
	$(BIN)/python -m tools.demo

test: install-dev
	@$(BIN)/python -m tools.testing

lint: install-dev
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/mypy

fuzz: install-dev
	$(BIN)/python -m tools.testing --long
	$(BIN)/python -m tools.fuzz --requests 100000 --seconds 30 --rate 150

# SEED=n plays one seed; COUNT=n plays fresh ones.
soak: install-dev
	$(BIN)/python -m tools.soak $(if $(SEED),--seed $(SEED),--count $(or $(COUNT),5))

bench: install-dev
	$(BIN)/python -m tools.bench

bench-capacity: install-dev
	$(BIN)/python -m tools.bench_capacity
