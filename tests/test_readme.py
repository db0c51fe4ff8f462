"""Runs the embedding example of the README and compares its output with the output shown there."""

from __future__ import annotations

import contextlib
import io
import re
from pathlib import Path


def test_the_embedding_example_prints_the_output_shown() -> None:
    readme = (Path(__file__).resolve().parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", readme, re.DOTALL)
    (expected_output,) = re.findall(r"```text\n(.*?)```", readme, re.DOTALL)
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(code, "README.md", "exec"), {})
    assert printed.getvalue() == expected_output
