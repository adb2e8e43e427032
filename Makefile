PYTHON ?= python3

.PHONY: check
check:
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy
	$(PYTHON) -m pytest -q
