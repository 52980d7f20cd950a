PYTHON ?= python3
VENV := .venv
READY := $(VENV)/.ready

.PHONY: demo test bench soak lint clean

# Sets up $(VENV), which then holds the savoryhollow command.
$(READY): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps -e .
	touch $(READY)

demo: $(READY)
	$(VENV)/bin/python -m emulator.demo

lint: $(READY)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports
	$(VENV)/bin/mypy

test: lint
	$(VENV)/bin/python -m pytest

bench: $(READY)
	$(VENV)/bin/python -m bench

soak: $(READY)
	$(VENV)/bin/python -m soak

clean:
	rm -rf $(VENV)
