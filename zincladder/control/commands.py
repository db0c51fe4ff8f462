"""The commands of the control socket: a request and a time in, an answer out. No I/O.

A request is a JSON object on one line with the command under 'do'; the answer is one line, {"ok": ...} or
{"error": "..."}.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

from zincladder.admission.interface import Admission
from zincladder.admission.source_admission import SourceAdmission
from zincladder.control.model import AdmissionReport, BlockResult

MAX_LINE_BYTES = 65_536
MAX_ROWS = 1000
DEFAULT_ROWS = 20
MAX_ERROR_LENGTH = 500  # characters
MAX_SHOWN_LENGTH = 40  # characters of an unknown command
FOREVER = float("inf")


class CommandError(Exception):
    """A command that cannot be carried out; the text says why."""


class CommandRequest:
    """The fields of one request; a field of the wrong kind raises CommandError with its name."""

    def __init__(self, fields: Mapping[str, Any]) -> None:
        self._fields = fields

    def text(self, name: str) -> str:
        """A text that is not empty."""
        value = self._fields.get(name)
        if not isinstance(value, str) or not value:
            raise CommandError(f"'{name}' must be a text")
        return value

    def number(self, name: str, default: float) -> float:
        """A number above 0."""
        value = self._fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
            raise CommandError(f"'{name}' must be a number above 0")
        return float(value)


Command = Callable[[CommandRequest, float], Any]


class AdmissionCommands:
    """The commands on admission by source. Each takes a request and the time on the monotonic clock."""

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        self.table: dict[str, Command] = {
            "admission.top": self.top,
            "admission.show": self.show,
            "admission.block": self.block,
            "admission.unblock": self.unblock,
            "admission.trust": self.trust,
        }

    @property
    def _by_source(self) -> SourceAdmission:
        if not isinstance(self._admission, SourceAdmission):
            raise CommandError("admission by source is off: the operator's file has no [admission]")
        return self._admission

    def top(self, request: CommandRequest, now: float) -> AdmissionReport:
        """The sources that use most, and the totals."""
        admission = self._by_source
        max_rows = min(MAX_ROWS, int(request.number("most", DEFAULT_ROWS)))
        return {
            "sources": admission.top(now, max_rows),
            "recorded": len(admission.sources),
            "rate": round(admission.read_queue.rate, 3),
            "pace": round(admission.read_queue.pace, 2),
            "waiting": admission.read_queue.waiting,
            "descriptors": {use.value: pool.used for use, pool in admission.descriptors.pools.items()},
            "limit": admission.descriptors.total,
            "turned_away": dict(admission.counters.rejected_connections),
            "refused": dict(admission.counters.rejected_requests),
            "penalties": admission.counters.penalties,
        }

    def show(self, request: CommandRequest, now: float) -> dict[str, object]:
        """All that is recorded of one address."""
        address = request.text("address")
        recorded = self._by_source.show(address, now)
        if recorded is None:
            raise CommandError(f"{address} is not on record: it has had no connection of late")
        return recorded

    def block(self, request: CommandRequest, now: float) -> BlockResult:
        """Reject a network's connections, for a time if one is given, and end those that are idle."""
        network, seconds = request.text("network"), request.number("seconds", FOREVER)
        return {"ended": self._by_source.block(network, now + seconds, now)}

    def unblock(self, request: CommandRequest, now: float) -> dict[str, object]:
        """Take an operator's block back."""
        network = request.text("network")
        if not self._by_source.unblock(network):
            raise CommandError(f"{network} was not blocked by an operator while this front ran")
        return {}

    def trust(self, request: CommandRequest, now: float) -> dict[str, object]:
        """Treat a network as known until the front ends."""
        self._by_source.trust(request.text("network"))
        return {}


def answer(table: Mapping[str, Command], line: bytes, now: float) -> bytes:
    """The answer to one line; there is one whatever the line holds."""
    try:
        reply: dict[str, Any] = {"ok": _execute(table, line, now)}
    except (CommandError, ValueError, RecursionError) as error:
        reply = {"error": str(error)[:MAX_ERROR_LENGTH]}
    return json.dumps(reply).encode() + b"\n"


def _execute(table: Mapping[str, Command], line: bytes, now: float) -> Any:
    fields = json.loads(line)
    if not isinstance(fields, dict):
        raise CommandError("a request must be an object")
    request = CommandRequest(fields)
    name = request.text("do")
    command = table.get(name)
    if command is None:
        raise CommandError(f"no command {name[:MAX_SHOWN_LENGTH]!r}, only {', '.join(sorted(table))}")
    return command(request, now)
