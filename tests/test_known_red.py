"""The list of tests that are known to fail: what it passes over, and what it does not."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
TESTS = """
import pytest
def test_right(): pass
def test_wrong(): assert 1 == 2
@pytest.mark.parametrize("n", [1, 2])
def test_each(n): assert n == 1
"""
WRONG = "test_some.py::test_wrong | sums are wrong | issue 1\n"
SECOND = "test_some.py::test_each[2] | two is not one | issue 2\n"


ALL_GREEN = "KNOWN RED: test_some.py::test_wrong is known to fail: sums are wrong (issue 1)"
PASSES = "test_some.py::test_right | none | issue 3\n"
AT_TIMES = PASSES.strip() + " | intermittent"
GONE = "test_some.py::test_gone | none | issue 3\n"


@pytest.mark.parametrize(
    ("listed", "workers", "green", "said"),
    [
        (WRONG + SECOND, 0, True, ALL_GREEN),
        (WRONG + SECOND, 2, True, ALL_GREEN),
        (WRONG, 2, False, "test_each[2]"),  # another failure still fails
        ("", 0, False, "2 failed"),
        (WRONG + SECOND + PASSES, 2, False, "test_right"),
        (WRONG + SECOND + GONE, 2, False, "test_gone does not exist"),
        (WRONG + SECOND + GONE, 0, False, "test_gone does not exist"),
        (WRONG + SECOND + "a.py::a | b | c\nb.py::b | c | d\n", 0, False, "4 tests are listed, 3 at most"),
        (WRONG + "test_some.py::test_each[2]\n", 0, False, "a line is 'test | cause | issue'"),
        (WRONG + WRONG, 0, False, "is listed twice"),
        (WRONG + SECOND + AT_TIMES, 2, True, "test_right is known to fail at times"),  # it passed
        (SECOND + WRONG.strip() + " | intermittent", 0, True, "test_wrong is known to fail at times"),
        (WRONG + SECOND + GONE.strip() + " | intermittent", 0, False, "test_gone does not exist"),
        (WRONG + SECOND + PASSES.strip() + " | sometimes", 0, False, "a line is 'test | cause | issue'"),
    ],
)
def test_what_is_listed_is_passed_over_and_nothing_else(
    listed: str, workers: int, green: bool, said: str, tmp_path: Path
) -> None:
    (tmp_path / "test_some.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "KNOWN-RED.txt").write_text(listed)
    plugins = ["-p", "xdist.plugin", "-p", "tests.known_red"]  # the others cost seconds of each start
    command = [sys.executable, "-m", "pytest", "-q", *plugins, "-n", str(workers)]
    ran = subprocess.run(
        [*command, "--known-red", "KNOWN-RED.txt"],
        cwd=tmp_path,
        env=os.environ | {"PYTHONPATH": str(ROOT), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert (ran.returncode == 0) == green and said in ran.stdout + ran.stderr, ran.stdout + ran.stderr


def test_the_whole_suite_is_run_with_the_list() -> None:
    assert "--known-red KNOWN-RED.txt" in (ROOT / ".ci" / "run").read_text()
    assert (ROOT / "KNOWN-RED.txt").exists()
