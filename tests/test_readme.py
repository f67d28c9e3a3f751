"""The examples of the README run, and their assertions pass."""

import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_examples_run() -> None:
    blocks = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    assert len(blocks) == 2
    for block in blocks:
        names: dict[str, object] = {}
        exec(block, names)  # its own assertions check the outcome
        assert "main" in names or "done" in names
