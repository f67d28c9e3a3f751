"""The README's example does what it says."""

import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    assert len(blocks) == 1
    names: dict[str, object] = {}
    exec(blocks[0], names)  # its own assertions check the outcome
    assert "done" in names
