"""Samples of metrics, and the text format of Prometheus. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from operator import attrgetter
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of one series."""

    name: str
    labels: tuple[tuple[str, str], ...]
    value: float


class MetricFamily(NamedTuple):
    """What all samples of one name have in common: its type, as Prometheus calls it, and its help line."""

    type: str
    help: str


def exposition(samples: Iterable[Sample], families: Mapping[str, tuple[str, str]]) -> str:
    """The text format of Prometheus. `families` gives each name's type and help line."""
    lines: list[str] = []
    described: set[str] = set()
    # The text format wants all lines of one name together.
    for sample in sorted(samples, key=attrgetter("name")):
        if sample.name not in described:
            described.add(sample.name)
            family = MetricFamily(*families[sample.name])
            lines.append(f"# HELP {sample.name} {family.help}")
            lines.append(f"# TYPE {sample.name} {family.type}")
        labels = ",".join(f'{name}="{_escaped(value)}"' for name, value in sample.labels)
        lines.append(f"{sample.name}{{{labels}}} {sample.value:g}")
    return "\n".join(lines) + "\n"


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
