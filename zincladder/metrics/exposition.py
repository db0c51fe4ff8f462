"""Metrics, their samples, and the text format of Prometheus. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from operator import attrgetter


class MetricType(StrEnum):
    """The types of metrics, as Prometheus names them."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of one series."""

    name: str
    labels: tuple[tuple[str, str], ...]
    value: float


@dataclass(frozen=True, slots=True)
class Metric:
    """A metric: its name, type and help line, and the label that tells its series apart, if it has one."""

    name: str
    type: MetricType
    help: str
    label: str = ""

    def sample(self, value: float, *labels: tuple[str, str]) -> Sample:
        """A sample of the series with these labels."""
        return Sample(self.name, labels, float(value))


def counter(name: str, help_line: str, label: str = "") -> Metric:
    """A metric that only rises."""
    return Metric(name, MetricType.COUNTER, help_line, label)


def gauge(name: str, help_line: str, label: str = "") -> Metric:
    """A metric that rises and falls."""
    return Metric(name, MetricType.GAUGE, help_line, label)


def exposition(samples: Iterable[Sample], metrics: Iterable[Metric]) -> str:
    """The text format of Prometheus.

    Args:
        samples: What is shown, in any order.
        metrics: Every metric of which there may be a sample.
    """
    metrics_by_name = {metric.name: metric for metric in metrics}
    lines: list[str] = []
    described: set[str] = set()
    # The text format wants all lines of one name together.
    for sample in sorted(samples, key=attrgetter("name")):
        if sample.name not in described:
            described.add(sample.name)
            metric = metrics_by_name[sample.name]
            lines.append(f"# HELP {metric.name} {metric.help}")
            lines.append(f"# TYPE {metric.name} {metric.type}")
        labels = ",".join(f'{name}="{_escaped(value)}"' for name, value in sample.labels)
        lines.append(f"{sample.name}{{{labels}}} {sample.value:g}")
    return "\n".join(lines) + "\n"


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
