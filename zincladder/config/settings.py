"""Parses the router's settings, which a front's file and the simulator's start message both hold."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeVar

from zincladder.config.node import Node, as_list, at_least_one, duration_seconds, flag, parse_json, text
from zincladder.routing import interface as api

T = TypeVar("T")

IDEMPOTENCY_WORDS = {
    "idempotent": api.Idempotency.IDEMPOTENT,
    "deduplicated": api.Idempotency.WITH_KEY,
    "at_most_once": api.Idempotency.NONE,
}
SCOPE_WORDS = {scope.value: scope for scope in api.Scope}
PEER_FILL_WORDS = {fill.value: fill for fill in api.PeerFill}
FILL_FAULTS_REPORTED_BY_DETAIL = {"all": True, "hit": False, "off": False}
KNOWN_WEIGHT_SOURCES = ("nominal", "rough")  # values of 'weightSource' that mean that weights are known
# The router's names for the fields of a load report, by their names on the wire; other names stay unchanged.
LOAD_REPORT_NAMES = {"rif": "held", "inflight": "held", "q": "queued", "queue": "queued", "x0": "hits",
                     "x1": "link", "util": "busy"}  # fmt: skip


def parse_settings(data: bytes) -> api.Settings:
    """Returns the settings in the simulator's start message. Raises ConfigError for the first faulty key."""
    return read_settings(Node(parse_json(data, "settings"), "settings"))


def read_settings(settings: Node) -> api.Settings:
    """Returns the settings of a Router; ignores unknown keys. Raises ConfigError for the first faulty key."""
    # One line for each field, which makes this function longer than most.
    domain, ceilings = settings.child("domain"), settings.child("ceilings")
    invariants, report = settings.child("invariants"), settings.child("report")
    overload_seconds = invariants.number("overloadFor", 1.0)
    return api.Settings(
        classes=_read_classes(settings, domain),
        zone=settings.integer("az", 0),
        routers_by_zone=tuple(map(int, domain.numbers("seatsByZone"))),
        routers=settings.integer("replicasOfMe", 1),
        instance=settings.integer("me", 0),
        parent_kind=domain.integer("midKind", -1),
        origin_kind=domain.integer("originKind", -1),
        hub_of_zone=tuple(map(int, domain.numbers("attachedTo"))),
        link_kb_per_s=domain.numbers("pipeKbPerS"),
        client_kb_per_s=domain.number("clientKbPerS", 0.0),
        cache_slow_start=api.SlowStart(
            invariants.number("coldFrom", 1.0),
            invariants.number("warmUp", 0.0),
            invariants.number("fallMultiple", 0.0),
            overload_seconds,
        ),
        parent_slow_start=api.SlowStart(
            domain.number("parentStartsAt", 1.0),
            domain.number("parentRamp", 0.0),
            domain.number("upperFallMultiple", 0.0),
            overload_seconds,
        ),
        drain_grace=invariants.number("drainGrace", 0.0),
        answer_slack=invariants.number("answerSlack", 0.0),
        purge_grace=domain.number("noticeTime", 0.0),
        purge_done=domain.number("goneEverywhere", 0.0),
        max_attempts=int(ceilings.read("attemptsCap", at_least_one, "a whole number above 0", 1.0)),
        connect_timeout=ceilings.number("connectTimeout", 0.0),
        may_cancel=ceilings.flag("mayCancel"),
        hedged_requests=ceilings.flag("secondCopies"),
        probes=ceilings.flag("probes"),
        retry_after=ceilings.flag("retryAfter"),
        max_retry_after=ceilings.number("maxRetryAfter", 0.0),
        may_bypass_caches=domain.flag("mayPassBy"),
        coalesces_fills=domain.flag("mergesFills"),
        fill_faults_reported=domain.choice("detail", FILL_FAULTS_REPORTED_BY_DETAIL, True),
        peer_fill=domain.choice("peersFill", PEER_FILL_WORDS, api.PeerFill.OFF),
        origin_overload_factor=domain.number("originStopsAt", 0.0),
        origin_overload_seconds=domain.number("rootFall", 0.0),
        weights_known=settings.text("weightSource", "off") in KNOWN_WEIGHT_SOURCES,
        must_subscribe=settings.text("registryMode", "automatic") == "subscribe",
        subscribe_within=invariants.number("mustAskIn", 0.0),
        report_names=_read_report_names(report),
        load_by_health_check=report.text("how", "off") == "on_probe",
        clients_mark_retries=settings.child("clients").flag("marksRetry"),
    )


def _read_report_names(report: Node) -> tuple[str, ...]:
    names = report.list_of("names", text, "texts", [])
    return tuple(LOAD_REPORT_NAMES.get(name, name) for name in names)


def _read_classes(settings: Node, domain: Node) -> tuple[api.RequestClass, ...]:
    """Returns the request classes; some of their values are in lists of 'domain', in class order."""
    fresh, usable = domain.numbers("freshFor"), domain.numbers("usableAfter")
    stale_weights = domain.numbers("classStaleWorth")
    uncacheable = domain.list_of("neverKept", flag, "flags", [])
    partitioned = domain.list_of("inPieces", flag, "flags", [])
    return tuple(
        api.RequestClass(
            latency_objective=category.number("onTime"),
            timeout=category.read("deadline", duration_seconds, "a number above 0, a day at most", None),
            idempotency=category.choice("effect", IDEMPOTENCY_WORDS),
            objective_per_transfer=category.number("aimStretch", 0.0),
            priority_weight=category.number("value", 1.0),
            late_weight=category.number("lateWorth", 0.0),
            scope=category.choice("keyScope", SCOPE_WORDS, api.Scope.ALL),
            deduplication_window=category.number("window", 0.0),
            streamed=category.flag("stream"),
            fresh_seconds=_item_or_default(fresh, index, 0.0),
            stale_if_error_seconds=_item_or_default(usable, index, 0.0),
            stale_weight=_item_or_default(stale_weights, index, 0.0),
            uncacheable=_item_or_default(uncacheable, index, False),
            partitioned=_item_or_default(partitioned, index, False),
        )
        for index, category in enumerate(categories(settings))
    )


def categories(settings: Node) -> Iterator[Node]:
    """Yields the objects of the request classes, in the order of the classes' numbers."""
    path = settings.path_of("categories")
    for index, item in enumerate(settings.read("categories", as_list, "a list", None)):
        yield Node(item, f"{path}[{index}]")


def _item_or_default(values: tuple[T, ...], index: int, default: T) -> T:
    return values[index] if index < len(values) else default
