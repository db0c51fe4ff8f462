"""The figures that `STATS` shows, read off the parts at the moment of asking."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Protocol

from zincladder.core.answers import AnswerKind
from zincladder.core.engine import Core

KINDS = {
    "succeeded": AnswerKind.SERVED.value,
    "declined": AnswerKind.REJECTED.value,
    "aborted": AnswerKind.FAILED.value,
}


class Counts(Protocol):
    """A part that a front may have."""

    def figures(self) -> Mapping[str, float]:
        """Names and values."""


def figures(core: Core, **parts: Counts | None) -> Iterator[tuple[str, int]]:
    """Each name and its value; all classes are there from the start, whether or not they have counted yet."""
    counted = core.statistics
    for request_class in counted.classes:
        for name, kind in KINDS.items():
            yield f"{name}.{request_class}", counted.answers[request_class, kind]
    beside = (core.settings.parent_kind, core.settings.origin_kind)
    yield "forwards", counted.forwarded
    yield "outstanding", len(core.open_requests)
    yield "discovered", sum(m.kind not in beside for m in core.endpoint_list.endpoints.values())
    yield "ejected", core.ejected_count()
    yield "sighup_applied", core.counts["reloads", "applied"]
    yield "sighup_rejected", core.counts["reloads", "rejected"]
    for part, counts in parts.items():
        for name, value in counts.figures().items() if counts else ():
            yield f"{part}_{name}", int(value)
