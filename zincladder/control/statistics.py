"""The values that STATS lists, read from the parts of a front at the time of the call."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from zincladder.config.reload import RELOADS_APPLIED, RELOADS_REJECTED
from zincladder.core.answers import AnswerKind
from zincladder.core.engine import Core

# The names under which STATS lists the kinds of final answers.
ANSWER_NAMES = {
    "succeeded": AnswerKind.SERVED.value,
    "declined": AnswerKind.REJECTED.value,
    "aborted": AnswerKind.FAILED.value,
}

Section = Callable[[], Mapping[str, float]]


def front_statistics(core: Core, sections: Mapping[str, Section]) -> Iterator[tuple[str, int]]:
    """Yields each name with its value.

    Every request class is listed, even if it has had no request yet. `sections` holds the values of the
    front's optional parts; the name of a section is the prefix of the names of its values.
    """
    yield from _answers_by_class(core)
    yield "forwards", core.statistics.forwarded
    yield "outstanding", len(core.open_requests)
    yield "discovered", _cache_count(core)
    yield "ejected", core.ejected_count()
    yield "sighup_applied", core.counts[RELOADS_APPLIED]
    yield "sighup_rejected", core.counts[RELOADS_REJECTED]
    for section, read_values in sections.items():
        for name, value in read_values().items():
            yield f"{section}_{name}", int(value)


def _answers_by_class(core: Core) -> Iterator[tuple[str, int]]:
    statistics = core.statistics
    for request_class in statistics.classes:
        for name, kind in ANSWER_NAMES.items():
            yield f"{name}.{request_class}", statistics.answers[request_class, kind]


def _cache_count(core: Core) -> int:
    """Returns the number of caches on the endpoint list: all endpoints except parents and the origin."""
    other_kinds = (core.settings.parent_kind, core.settings.origin_kind)
    return sum(endpoint.kind not in other_kinds for endpoint in core.endpoint_list.endpoints.values())
