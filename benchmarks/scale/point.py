"""One point of a series, in a process of its own: `python -m benchmarks.scale.point SERIES SIZE FOLDER`.

Prints its figures as one JSON object. The inputs were written to FOLDER by another process, so what making
them took is neither in its processor time nor in its memory.
"""

from __future__ import annotations

import json
import logging
import sys
from pathlib import Path

from benchmarks.scale.series import SERIES


def main() -> int:
    name, size, folder = sys.argv[1:]
    logging.disable(logging.CRITICAL)  # what the program logs of a change is no part of its step
    print(json.dumps(SERIES[name].probe(int(size), Path(folder))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
