PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core platform rpc entry ctl gateway standins
STAMP := $(VENV)/.installed
BENCH_ARGS ?=
SOAK_SECONDS ?= 300

.PHONY: install test lint format demo bench capacity soak clean

install: $(STAMP)

$(STAMP): constraints.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt setuptools pbr hypothesis ruff
	$(BIN)/python -m pip install --quiet --no-build-isolation -c constraints.txt \
		$(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

test: install lint
	$(BIN)/python tools/run_tests.py

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: install
	$(BIN)/sassafrasway-standins demo

# Example: make bench BENCH_ARGS="--layout sila --load 0.75 --fault none --seed 1"
bench: install
	$(BIN)/sassafrasway-standins bench $(BENCH_ARGS)

capacity: install
	$(BIN)/sassafrasway-standins capacity
	$(BIN)/sassafrasway-standins capacity-fleet

soak: install
	SASSAFRASWAY_SOAK_SECONDS=$(SOAK_SECONDS) $(BIN)/python tools/run_tests.py --pattern 'soak_*.py'

clean:
	rm -rf $(VENV)
