VENV ?= .venv
PY := $(VENV)/bin/python
WEIGHTS ?=
SEED ?= 1
export PYTHONPATH := src:.

.PHONY: demo test install format gen
.PHONY: bench-weights bench-requests bench-control
.PHONY: soak-weights soak-requests soak-control soak-processes

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -r requirements.lock
	$(PY) -m pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

install: $(VENV)/.installed

demo: install
	$(PY) -m carobstand.local $(if $(WEIGHTS),--weights $(WEIGHTS))

test: install
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m pytest $(PYTEST_ARGS)

bench-weights: install
	$(PY) -m bench.weights

bench-requests: install
	$(PY) -m bench.requests

bench-control: install
	$(PY) -m bench.control

soak-weights: install
	$(PY) -m bench.soak_weights --seed $(SEED)

soak-requests: install
	$(PY) -m bench.soak_requests --seed $(SEED)

soak-control: install
	$(PY) -m bench.soak_control --seed $(SEED)

soak-processes: install
	$(PY) -m bench.soak_processes --seed $(SEED)

format:
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

# Needs Debian's thrift-compiler; the generated code is committed.
gen:
	rm -rf build/gen && mkdir -p build/gen
	thrift --gen py -out build/gen src/carobstand/wire/messages.thrift
	thrift --gen py -out build/gen src/carobstand/wire/fleet.thrift
	cp build/gen/carobstand/wire/gen/*.py src/carobstand/wire/gen/
	cp build/gen/carobstand/wire/gen_fleet/*.py src/carobstand/wire/gen_fleet/
