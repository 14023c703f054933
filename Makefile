# A bare machine needs Python 3.11 with venv and make.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup lint test model demo bench soak format

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt -e '.[dev]'
	touch $@

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 sassafrasgate tests benchmarks models
	$(BIN)/pylint -j 4 sassafrasgate tests benchmarks models
	$(BIN)/mypy

test: lint model
	$(BIN)/python -m tests.run

model: setup
	$(BIN)/python -m models.run

demo: setup
	$(BIN)/python -m tests.demo

bench: setup
	$(BIN)/python -m benchmarks.run

SEED ?= 1
SEEDS ?= 5
SECONDS ?= 30

soak: setup
	$(BIN)/python -m tests.soak.run --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)
