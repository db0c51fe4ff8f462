"""What STATS lists, read off the parts of a front at the moment of the call."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from zincladder.config.reload import RELOADS_APPLIED, RELOADS_REJECTED
from zincladder.core.answers import AnswerKind
from zincladder.core.engine import Core

# Names that STATS gives to the kinds of final answers.
ANSWER_NAMES = {
    "succeeded": AnswerKind.SERVED.value,
    "declined": AnswerKind.REJECTED.value,
    "aborted": AnswerKind.FAILED.value,
}

Section = Callable[[], Mapping[str, float]]


def front_statistics(core: Core, sections: Mapping[str, Section]) -> Iterator[tuple[str, int]]:
    """Each name with its value.

    Every request class is listed from the start, whether or not it has had a request. `sections` are the
    optional parts of a front; the name of a section goes before those of its values.
    """
    yield from _answers_by_class(core)
    yield "forwards", core.statistics.forwarded
    yield "outstanding", len(core.open_requests)
    yield "discovered", _cache_count(core)
    yield "ejected", core.ejected_count()
    yield "sighup_applied", core.counts[RELOADS_APPLIED]
    yield "sighup_rejected", core.counts[RELOADS_REJECTED]
    for section, values in sections.items():
        for name, value in values().items():
            yield f"{section}_{name}", int(value)


def _answers_by_class(core: Core) -> Iterator[tuple[str, int]]:
    counted = core.statistics
    for request_class in counted.classes:
        for name, kind in ANSWER_NAMES.items():
            yield f"{name}.{request_class}", counted.answers[request_class, kind]


def _cache_count(core: Core) -> int:
    """Caches on the list: all endpoints but parents and the origin."""
    others = (core.settings.parent_kind, core.settings.origin_kind)
    return sum(endpoint.kind not in others for endpoint in core.endpoint_list.endpoints.values())
