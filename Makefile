VENV = .venv
PYTHON = $(VENV)/bin/python
STAMP = $(VENV)/.installed

.PHONY: install test test-paused test-processes lint format dist demo demo-up \
	bench slopes guards soak soak-duties soak-duty-fleet clean

install: $(STAMP)

$(STAMP): requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements-dev.txt
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

test: test-paused test-processes

test-paused: install
	$(PYTHON) -m pytest --ignore-glob='*process_test.py'

test-processes: install dist
	PIMENTOWAY_TEST_CLOCK=real $(PYTHON) -m pytest \
		pimentoway/*/*process_test.py

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 pimentoway conftest.py

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

dist: dist/pimentoway dist/pimentoway-standin

dist/pimentoway dist/pimentoway-standin: $(STAMP) requirements.txt \
		$(shell find pimentoway -name '*.py' -not -name '*_test.py')
	rm -rf build dist
	mkdir -p dist
	$(PYTHON) -m pip wheel --quiet --no-deps --no-build-isolation \
		-w build/wheel .
	$(PYTHON) -m pip install --quiet --require-hashes \
		--target build/site -r requirements.txt
	$(PYTHON) -m pip install --quiet --no-deps --target build/site \
		build/wheel/*.whl
	$(VENV)/bin/shiv --site-packages build/site --compressed \
		-e pimentoway.tools.launch:main -o dist/pimentoway
	$(VENV)/bin/shiv --site-packages build/site --compressed \
		-e pimentoway.tools.launch:main_standin -o dist/pimentoway-standin

demo: dist
	$(PYTHON) -c 'import sys; from pimentoway.tools import launch; \
		sys.exit(launch.main_demo())'

demo-up: dist
	$(PYTHON) -c 'import sys; from pimentoway.tools import launch; \
		sys.exit(launch.main_demo())' --up

bench: install
	$(PYTHON) -c 'from pimentoway.tools import launch; launch.main_bench()'
	$(PYTHON) -c 'from pimentoway.tools import launch; launch.main_overhead()'
	$(PYTHON) -c 'from pimentoway.tools import launch; launch.main_pattern()'
	$(PYTHON) -c 'from pimentoway.tools import launch; launch.main_overload()'
	$(PYTHON) -c 'from pimentoway.tools import launch; launch.main_placement()'
	$(PYTHON) -c 'from pimentoway.tools import launch; launch.main_waves()'
	$(PYTHON) -c 'from pimentoway.tools import launch; launch.main_zone_faults()'
	$(PYTHON) -c 'from pimentoway.tools import launch; launch.main_reuse()'
	$(PYTHON) -c 'from pimentoway.tools import launch; launch.main_decision()'
	$(PYTHON) -c 'from pimentoway.tools import launch; launch.main_partition()'

slopes: install
	$(PYTHON) -c 'from pimentoway.tools import launch; launch.main_slope()'

SEEDS = 1 2 3
SOAK_SECONDS = 10
SOAK_FAULTS = 25

soak: install
	$(PYTHON) -c 'import sys; from pimentoway.tools import launch; \
		sys.exit(launch.main_soak())' \
		$(SOAK_SECONDS) $(SOAK_FAULTS) $(SEEDS)

DUTY_SOAK_SECONDS = 30

soak-duties: install
	$(PYTHON) -c 'import sys; from pimentoway.tools import launch; \
		sys.exit(launch.main_duty_soak())' \
		$(DUTY_SOAK_SECONDS) $(SEEDS)

DUTY_FAULTS = all

soak-duty-fleet: install
	$(PYTHON) -c 'import sys; from pimentoway.tools import launch; \
		sys.exit(launch.main_duty_fleet_soak())' \
		$(DUTY_SOAK_SECONDS) $(DUTY_FAULTS) $(SEEDS)

guards: install
	$(PYTHON) -m pimentoway.tools.guard

clean:
	rm -rf build dist .demo .pytest_cache .ruff_cache
