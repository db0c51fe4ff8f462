"""Metrics, their samples, and the Prometheus text format. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from operator import attrgetter


class MetricType(StrEnum):
    """The metric types, under their Prometheus names."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of one time series."""

    name: str
    labels: tuple[tuple[str, str], ...]
    value: float


@dataclass(frozen=True, slots=True)
class Metric:
    """A metric: its name, type and help text, and the label that distinguishes its series, if it has one."""

    name: str
    type: MetricType
    help: str
    label: str = ""

    def sample(self, value: float, *labels: tuple[str, str]) -> Sample:
        """Returns a sample of the series with these labels."""
        return Sample(self.name, labels, float(value))


def counter(name: str, help_line: str, label: str = "") -> Metric:
    """Returns a counter, whose value only rises."""
    return Metric(name, MetricType.COUNTER, help_line, label)


def gauge(name: str, help_line: str, label: str = "") -> Metric:
    """Returns a gauge, whose value can rise and fall."""
    return Metric(name, MetricType.GAUGE, help_line, label)


def exposition(samples: Iterable[Sample], metrics: Iterable[Metric]) -> str:
    """Returns samples in the Prometheus text format, with the help and type of their metrics.

    Args:
        samples: The samples, in any order.
        metrics: At least the metrics of all samples.
    """
    metrics_by_name = {metric.name: metric for metric in metrics}
    lines: list[str] = []
    described_names: set[str] = set()
    # The text format requires that all lines of one metric are consecutive.
    for sample in sorted(samples, key=attrgetter("name")):
        if sample.name not in described_names:
            described_names.add(sample.name)
            metric = metrics_by_name[sample.name]
            lines.append(f"# HELP {metric.name} {metric.help}")
            lines.append(f"# TYPE {metric.name} {metric.type}")
        labels = ",".join(f'{name}="{_escaped(value)}"' for name, value in sample.labels)
        lines.append(f"{sample.name}{{{labels}}} {sample.value:g}")
    return "\n".join(lines) + "\n"


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
