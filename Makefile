VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test lint bench

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(PY) -m pip install -qq --disable-pip-version-check -c constraints.txt -e '.[test]'
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m plumarch.demo

test: $(STAMP)
	$(PY) -m pytest

lint: $(STAMP)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy

bench: $(STAMP)
	$(PY) -m bench.relay
