"""Measures one point of a series in a process of its own.

    python -m benchmarks.scale.point SERIES SIZE FOLDER

Prints the figures as one JSON object. Another process has written the inputs to FOLDER, so the cost of
writing them is contained neither in the processor time nor in the memory of this process.
"""

from __future__ import annotations

import json
import logging
import sys
from pathlib import Path

from benchmarks.scale.series import SERIES


def main() -> int:
    """Runs the probe of the series and prints its figures."""
    name, size, folder = sys.argv[1:]
    logging.disable(logging.CRITICAL)  # log output of the program does not belong to the measured step
    print(json.dumps(SERIES[name].probe(int(size), Path(folder))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
