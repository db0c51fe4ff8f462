"""The commands of the control socket: parses a request, executes it and returns the answer. No I/O.

A request is one line with a JSON object that names the command under 'do'. The answer is one line too:
{"ok": ...} or {"error": "..."}.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

from zincladder.admission.interface import Admission
from zincladder.admission.source_admission import SourceAdmission
from zincladder.control.model import AdmissionReport, BlockResult

MAX_LINE_BYTES = 65_536
MAX_ROWS_LIMIT = 1000
DEFAULT_MAX_ROWS = 20
MAX_ERROR_LENGTH = 500  # characters
MAX_SHOWN_NAME_LENGTH = 40  # characters of an unknown command's name in the error
FOREVER_SECONDS = float("inf")


class CommandError(Exception):
    """A command cannot be executed; the text is sent to the operator and says why."""


class CommandRequest:
    """The fields of one request; a field of the wrong type raises CommandError with its name."""

    def __init__(self, fields: Mapping[str, Any]) -> None:
        self._fields = fields

    def text(self, name: str) -> str:
        """Returns a string that is not empty."""
        value = self._fields.get(name)
        if not isinstance(value, str) or not value:
            raise CommandError(f"'{name}' must be a text")
        return value

    def number(self, name: str, default: float) -> float:
        """Returns a number above 0."""
        value = self._fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
            raise CommandError(f"'{name}' must be a number above 0")
        return float(value)


Command = Callable[[CommandRequest, float], Any]


class AdmissionCommands:
    """The commands for admission by source. Each takes a request and the monotonic time."""

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
        """Returns the sources with the highest usage, and the totals of the front."""
        admission = self._by_source
        max_rows = min(MAX_ROWS_LIMIT, int(request.number("most", DEFAULT_MAX_ROWS)))
        return {
            "sources": admission.top(now, max_rows),
            "recorded": len(admission.sources),
            "rate": round(admission.read_queue.rate, 3),
            "pace": round(admission.read_queue.cost_scale, 2),
            "waiting": admission.read_queue.waiting,
            "descriptors": {use.value: pool.used for use, pool in admission.descriptors.pools.items()},
            "limit": admission.descriptors.total,
            "turned_away": dict(admission.counters.rejected_connections),
            "refused": dict(admission.counters.rejected_requests),
            "penalties": admission.counters.penalties,
        }

    def show(self, request: CommandRequest, now: float) -> dict[str, object]:
        """Returns everything that is recorded about one address."""
        address = request.text("address")
        recorded = self._by_source.show(address, now)
        if recorded is None:
            raise CommandError(f"{address} is not on record: it has had no connection of late")
        return recorded

    def block(self, request: CommandRequest, now: float) -> BlockResult:
        """Rejects a network's new connections, for a time if one is given, and closes its idle ones."""
        network, seconds = request.text("network"), request.number("seconds", FOREVER_SECONDS)
        return {"ended": self._by_source.block(network, now + seconds, now)}

    def unblock(self, request: CommandRequest, now: float) -> dict[str, object]:
        """Lifts a block that an operator set."""
        network = request.text("network")
        if not self._by_source.unblock(network):
            raise CommandError(f"{network} was not blocked by an operator while this front ran")
        return {}

    def trust(self, request: CommandRequest, now: float) -> dict[str, object]:
        """Lists a network, as the operator's file can, until the process ends."""
        self._by_source.trust(request.text("network"))
        return {}


def answer(table: Mapping[str, Command], line: bytes, now: float) -> bytes:
    """Returns the answer to one line; an invalid line gets an answer with an error."""
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
        raise CommandError(f"no command {name[:MAX_SHOWN_NAME_LENGTH]!r}, only {', '.join(sorted(table))}")
    return command(request, now)
