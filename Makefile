PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: run test lint binary bench capacity clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/ragworthoist-lab demonstrate

lint: $(STAMP)
	$(BIN)/ruff check src tests bench
	$(BIN)/ruff format --check src tests bench

test: lint
	$(BIN)/python -m pytest

binary: $(STAMP)
	$(BIN)/shiv --quiet --python '/usr/bin/env python3' --entry-point ragworthoist.__main__:main \
		--output-file dist/ragworthoist.pyz --requirement requirements.lock --no-deps .

bench: $(STAMP)
	$(BIN)/python bench/latency.py
	$(BIN)/python bench/overload.py

capacity: $(STAMP)
	$(BIN)/python bench/capacity.py

clean:
	rm -rf $(VENV) dist build
