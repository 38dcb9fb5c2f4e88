PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: install format lint test soak demo clean

install: $(VENV)/.installed

$(VENV)/.installed: requirements/runtime.txt requirements/dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements/dev.txt
	$(BIN)/python -m pip install --quiet --no-deps -e .
	touch $@

format: install
	$(BIN)/black laburnumrock benchmarks examples conftest.py
	$(BIN)/ruff check --fix laburnumrock benchmarks examples conftest.py

lint: install
	$(BIN)/black --check --quiet laburnumrock benchmarks examples conftest.py
	$(BIN)/ruff check --quiet laburnumrock benchmarks examples conftest.py

soak: install
	$(BIN)/python -m laburnumrock.platform.soak --seed 1 --runs 50 --logs soak-logs

test: lint
	$(BIN)/python -m pytest -n 4 -m "not processes"
	$(BIN)/python -m pytest -n 2 -m processes

demo: install
	$(BIN)/python examples/demo.py

clean:
	rm -rf $(VENV) build *.egg-info
