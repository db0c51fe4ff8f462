"""Tests that fail for a known fault that is not mended yet: passed over by name, and by nothing else.

Each line of the file names a test by its id, the cause and the issue, parted by '|'; three lines at most. A
listed test that passes, or that does not exist, fails the run, so that the list is true whenever it is green.
Where the fault shows itself at some runs only, a fourth part says 'intermittent': such a test may pass.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

MOST = 3
INTERMITTENT = "intermittent"


@dataclass(frozen=True, slots=True)
class Known:
    """Why a listed test fails, and whether it does so at some runs only."""

    why: str
    intermittent: bool


def read(path: Path) -> dict[str, Known]:
    """The listed tests with cause and issue; UsageError where the file is not as it has to be."""
    found: dict[str, Known] = {}
    for line in path.read_text().splitlines():
        if not line.strip():
            continue
        name, *why = (part.strip() for part in line.split("|"))
        intermittent = why[2:] == [INTERMITTENT]
        if len(why) != 2 + intermittent or not name or not all(why):
            raise pytest.UsageError(f"{path.name}: a line is 'test | cause | issue', not {line!r}")
        if name in found:
            raise pytest.UsageError(f"{path.name}: {name} is listed twice")
        found[name] = Known(f"{why[0]} ({why[1]})", intermittent)
    if len(found) > MOST:
        raise pytest.UsageError(f"{path.name}: {len(found)} tests are listed, {MOST} at most")
    return found


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", help="a file that lists tests known to fail; for a run of all tests")


def pytest_configure(config: pytest.Config) -> None:
    path = config.getoption("--known-red")
    if path:
        config.pluginmanager.register(KnownRed(read(Path(str(config.rootpath), path))), "known-red")


class KnownRed:
    """Marks what is listed, in each process that collects; the one that reports compares list and run."""

    def __init__(self, listed: dict[str, Known]) -> None:
        self._listed = listed
        self._met: set[str] = set()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            if item.nodeid in self._listed:
                known = self._listed[item.nodeid]
                item.add_marker(pytest.mark.xfail(reason=known.why, strict=not known.intermittent))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self._met.add(report.nodeid)

    def _missing(self) -> list[str]:
        return [name for name in self._listed if name not in self._met]

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        worker = hasattr(session.config, "workerinput")  # it has met its part of the tests only
        if self._missing() and not worker and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for name, known in self._listed.items():
            state = "is known to fail at times" if known.intermittent else "is known to fail"
            state = "does not exist, or was not run" if name in self._missing() else state
            terminalreporter.write_line(f"KNOWN RED: {name} {state}: {known.why}")
