# `make rehearse` and `make test` set up their environment themselves: they want python3, make and the package
# registry. VENV names the folder for it.
VENV ?= .venv
PYTHON ?= $(VENV)/bin/python
# One test process for each core; the tests of one file stay together, in their order.
WORKERS ?= --numprocesses auto --dist loadfile
NEEDED = requirements.txt requirements-rehearsal.txt requirements-experiments.txt requirements-dev.txt

.PHONY: rehearse test check

rehearse: $(VENV)/ready
	$(PYTHON) -m driftstair rehearse calm
	$(PYTHON) -m driftstair rehearse slow-boxes

test: $(VENV)/ready
	$(MAKE) --no-print-directory check

check:
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy
	$(PYTHON) -m pytest -q $(WORKERS)

$(VENV)/ready: $(NEEDED)
	test -x $(VENV)/bin/python || python3 -m venv $(VENV)
	$(VENV)/bin/pip --quiet --disable-pip-version-check install $(NEEDED:%=-r %)
	touch $@
