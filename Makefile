# make demo and make test do all the set-up that they need.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := state overload organisations protocol transport coordination node ctl testing

.PHONY: setup test demo format check types lock generate reference

setup: $(STAMP)

$(STAMP): requirements/constraints.txt $(wildcard packages/*/pyproject.toml) \
  platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements/build.txt
	$(BIN)/pip install --quiet --no-build-isolation --require-hashes \
	  -r requirements/constraints.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps \
	  $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	touch $@

test: $(STAMP)
	$(BIN)/python -m pytest

demo: $(STAMP)
	$(BIN)/python -m radishtray_testing.demo

format: $(STAMP)
	$(BIN)/ruff format packages platform tools
	$(BIN)/ruff check --fix packages platform tools

check: $(STAMP)
	$(BIN)/ruff format --check packages platform tools
	$(BIN)/ruff check packages platform tools

types: $(STAMP)
	$(BIN)/mypy $(foreach p,$(PACKAGES),packages/$(p)/radishtray_$(p)) \
	  platform/radishtray_platform

# Writes the tables of docs/operators; a test compares them with the code.
reference: $(STAMP)
	$(BIN)/python -m radishtray_testing.reference

# Needs the Thrift compiler; the result is committed.
generate:
	tools/generate_wire.sh
