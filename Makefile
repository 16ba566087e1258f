PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core relay wire load backing daemon agent entry cli testing bench
EDITABLE := $(foreach package,$(PACKAGES),-e packages/$(package)) -e platform
SOURCES := conftest.py packages platform tests tools

MODELS := $(wildcard model/*/check)

.PHONY: demo test check format bench model setup clean bench-configuration $(MODELS)

setup: $(VENV)/.installed

$(VENV)/.installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml platform/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-build-isolation --constraint constraints.txt $(EDITABLE)
	touch $@

demo: setup
	$(BIN)/lacewingcourse-local demo --entries 2 --endpoints 6

# Tests of one file share a deployment, so a file goes to one worker as a whole. Those
# that measure a process have the machine for themselves.
WORKERS ?= 4

test: setup
	$(BIN)/python -m pytest --numprocesses=$(WORKERS) --dist=loadfile -m "not alone"
	$(BIN)/python -m pytest -m alone

check: setup
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/isort --check-only --quiet $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/python tools/check_core.py
	$(BIN)/python tools/check_names.py
	$(BIN)/python tools/check_comments.py
	$(BIN)/python tools/check_circles.py

format: setup
	$(BIN)/isort --quiet $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)

# Independent of one another: `make -j4 --output-sync model` runs them at once.
model: $(MODELS)

$(MODELS):
	@$@

clean:
	rm -rf out

SECTION ?=
BASELINE ?=
SCALE ?= 1
SECONDS ?= 10
LEVELS ?= 0.5,0.9,1.5,3
POLICIES ?=

bench: setup
	$(BIN)/lacewingcourse-bench run --section=$(SECTION) --baseline=$(BASELINE) \
		--scale=$(SCALE) --seconds=$(SECONDS) --levels=$(LEVELS) --policies=$(POLICIES)

PROCESSES ?= 10,50

bench-configuration: setup
	$(BIN)/python -m lacewingcourse.bench.configuration --processes=$(PROCESSES) \
		--seconds=$(SECONDS)
