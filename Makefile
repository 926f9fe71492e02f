VENV ?= .venv
# Test files of the packages run beside each other in so many processes, a file's own tests in order.
# Tests that start processes of the product run one by one: beside others they had too little processor.
TEST_PROCESSES ?= 4
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
	$(PY) -m pytest -n $(TEST_PROCESSES) --dist loadfile plumarch
	$(PY) -m pytest tests platform

lint: $(STAMP)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy

bench: $(STAMP)
	$(PY) -m bench.relay
