"""The embedding example of the README runs and prints what the page says."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_embedding_example_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    done = subprocess.run(
        [sys.executable, "-c", example], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    assert re.fullmatch(r"send to 10\.0\.0\.[12]:80\nthen \[\]\n", done.stdout)
