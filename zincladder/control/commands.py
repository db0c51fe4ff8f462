"""The commands of the control socket: a request and a time in, an answer out. No I/O here.

One request is a JSON object on one line with the command under 'do'; the answer is one line, {"ok": ...} or
{"error": "..."}.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

from zincladder.admission.gate import Gate
from zincladder.admission.interface import Admission

MOST_LINE = 65_536
MOST_ROWS = 1000
FOREVER = float("inf")


class Refused(Exception):
    """A command that cannot be carried out; the text says why."""


Command = Callable[[Mapping[str, Any], float], Any]


def _text(said: Mapping[str, Any], name: str) -> str:
    value = said.get(name)
    if not isinstance(value, str) or not value:
        raise Refused(f"'{name}' must be a text")
    return value


def _number(said: Mapping[str, Any], name: str, default: float | None = None) -> float:
    value = said.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise Refused(f"'{name}' must be a number above 0")
    return float(value)


class AdmissionCommands:
    """What can be asked of admission."""

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
    def _gate(self) -> Gate:
        if not isinstance(self._admission, Gate):
            raise Refused("admission by source is off: the operator's file has no [admission]")
        return self._admission

    def top(self, said: Mapping[str, Any], now: float) -> dict[str, Any]:
        gate = self._gate
        most = min(MOST_ROWS, int(_number(said, "most", 20)))
        return {
            "sources": gate.top(now, most),
            "recorded": len(gate.sources),
            "rate": round(gate.shares.rate, 3),
            "pace": round(gate.shares.pace, 2),
            "waiting": gate.shares.waiting,
            "descriptors": {use.value: a.used for use, a in gate.ledger.accounts.items()},
            "limit": gate.ledger.total,
            "turned_away": dict(gate.tallies.turned),
            "refused": dict(gate.tallies.refused),
            "penalties": gate.tallies.penalties,
        }

    def show(self, said: Mapping[str, Any], now: float) -> dict[str, Any]:
        address = _text(said, "address")
        found = self._gate.show(address, now)
        if found is None:
            raise Refused(f"{address} is not on record: it has had no connection of late")
        return found

    def block(self, said: Mapping[str, Any], now: float) -> dict[str, Any]:
        network, seconds = _text(said, "network"), _number(said, "seconds", FOREVER)
        return {"ended": self._gate.block(network, now + seconds, now)}

    def unblock(self, said: Mapping[str, Any], now: float) -> dict[str, Any]:
        network = _text(said, "network")
        if not self._gate.unblock(network):
            raise Refused(f"{network} was not blocked by an operator while this front ran")
        return {}

    def trust(self, said: Mapping[str, Any], now: float) -> dict[str, Any]:
        self._gate.trust(_text(said, "network"))
        return {}


def answer(table: Mapping[str, Command], line: bytes, now: float) -> bytes:
    """The answer to one line; whatever comes in, a line goes out."""
    try:
        said = json.loads(line)
        if not isinstance(said, dict):
            raise Refused("a request must be an object")
        command = table.get(_text(said, "do"))
        if command is None:
            raise Refused(f"no command {said['do'][:40]!r}, only {', '.join(sorted(table))}")
        found: dict[str, Any] = {"ok": command(said, now)}
    except (Refused, ValueError, RecursionError) as fault:
        found = {"error": str(fault)[:500]}
    return json.dumps(found).encode() + b"\n"
