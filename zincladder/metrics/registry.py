"""The daemon's metrics: one table of names, read off the parts at the moment of asking."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from zincladder.core.engine import Core

# Counters of the core by their group: the metric's name, its label and its help line.
COUNTERS = {
    "answers": ("zincladder_answers_total", "kind", "Answers: served, refused, failed, withdrawn, unusable."),
    "attempts": ("zincladder_attempts_total", "end", "Attempts at members by how they ended."),
    "probes": ("zincladder_probes_total", "end", "Load probes by how they ended."),
    "clients": ("zincladder_client_connections_total", "event", "Client connections taken."),
    "client_ends": ("zincladder_client_ends_total", "end", "Client connections by how they ended."),
    "steered": ("zincladder_steered_total", "outcome", "Clients steered by DNS: named or refused."),
    "dns": ("zincladder_dns_responses_total", "rcode", "DNS responses by code."),
    "remote_write": (
        "zincladder_remote_write_total",
        "outcome",
        "Batches: sent, retried, refused or overflowed.",
    ),
}
GAUGES = {
    "open": ("zincladder_requests_open", "Requests that are owed their answer."),
    "members": ("zincladder_members", "Members on the list."),
    "ready": ("zincladder_members_ready", "Members on the list that are ready."),
    "feed": ("zincladder_coordinator_connected", "1 while the coordinator is followed."),
}
NAMES = frozenset(name for name, *_ in (*COUNTERS.values(), *GAUGES.values()))


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of one series."""

    name: str
    labels: tuple[tuple[str, str], ...]
    value: float


class Registry:
    """All samples of one front."""

    def __init__(self, core: Core, front: str, connected: Callable[[], bool]) -> None:
        self._core, self._front, self._connected = core, front, connected

    def samples(self) -> Iterator[Sample]:
        front = ("front", self._front)
        for (group, key), value in sorted(self._core.counts.items()):
            if group in COUNTERS:
                name, label, _ = COUNTERS[group]
                yield Sample(name, (front, (label, key)), float(value))
        ready = sum(m.state == 1 for m in self._core.members.values())
        values = {
            "open": len(self._core.lives),
            "members": len(self._core.members),
            "ready": ready,
            "feed": self._connected(),
        }
        for key, value in values.items():
            yield Sample(GAUGES[key][0], (front,), float(value))

    def text(self) -> str:
        """The text format of Prometheus."""
        kinds = {name: ("counter", text) for name, _, text in COUNTERS.values()}
        kinds |= {name: ("gauge", text) for name, text in GAUGES.values()}
        lines, seen = [], set()
        for sample in self.samples():
            if sample.name not in seen:
                seen.add(sample.name)
                kind, text = kinds[sample.name]
                lines += [f"# HELP {sample.name} {text}", f"# TYPE {sample.name} {kind}"]
            labels = ",".join(f'{k}="{_escaped(v)}"' for k, v in sample.labels)
            lines.append(f"{sample.name}{{{labels}}} {sample.value:g}")
        return "\n".join(lines) + "\n"


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
