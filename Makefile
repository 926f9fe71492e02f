VENV ?= .venv
# Test files run beside each other in so many processes; a file's own tests run in order.
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
	$(PY) -m pytest -n $(TEST_PROCESSES) --dist loadfile

lint: $(STAMP)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy

bench: $(STAMP)
	$(PY) -m bench.relay
