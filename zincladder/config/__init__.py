"""The one place where configuration is read, checked and given defaults.

The daemon's file (`RELAY_CONFIG`) and the simulator's start message hold the same `settings`, so both use
`settings_from`. A fault is a ConfigError whose text names the key, written as a path from the top.
"""

from __future__ import annotations

import json
import math
import os
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, TypeVar

from zincladder.admission.model import Limits
from zincladder.routing import interface as api

T = TypeVar("T")
Address = tuple[str, int]

MEMORY_MB = 192  # defaults are the least that the platform promises
SOCKETS = 1024
OWN_MB = 22  # what the daemon itself takes under load (17 at its start); the rest holds requests
SPARE_MB = 6  # kept free, however many processes
BODY = 240_000  # bytes of an object's part at most
DAY = 86_400.0  # seconds
LEAST_MB = 4  # for requests, however little there is
OPEN_KB = 100  # an open request, most of which wait and hold no body yet


class ConfigError(Exception):
    """The configuration cannot be used; the text names the faulty key."""


class Node:
    """One object of the configuration and the path that leads to it."""

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise ConfigError(f"'{path}' must be an object, not {json.dumps(data)[:40]}")
        self.data, self.path = data, path

    def at(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str, read: Callable[[Any], T], what: str, default: T | None) -> T:
        """The value of a key, read by `read`; without a default the key must be there."""
        value = self.data.get(key)
        if value is None:
            if default is None:
                raise ConfigError(f"'{self.at(key)}' is missing: it must be {what}")
            return default
        try:
            return read(value)
        except (ValueError, TypeError, KeyError):
            raise ConfigError(f"'{self.at(key)}' must be {what}, not {json.dumps(value)[:40]}") from None

    def num(self, key: str, default: float | None = None) -> float:
        return self.get(key, _number, "a number", default)

    def whole(self, key: str, default: int | None = None) -> int:
        return int(self.num(key, default))

    def flag(self, key: str) -> bool:
        return self.get(key, _flag, "true or false", False)

    def text(self, key: str, default: str | None = None) -> str:
        return self.get(key, _text, "a text", default)

    def many(
        self, key: str, read: Callable[[Any], T], what: str, default: list[T] | None = None
    ) -> tuple[T, ...]:
        return tuple(self.get(key, lambda v: [read(x) for x in _list(v)], f"a list of {what}", default))

    def numbers(self, key: str) -> tuple[float, ...]:
        return self.many(key, _number, "numbers", [])

    def choice(self, key: str, choices: Mapping[str, T], default: T | None = None) -> T:
        return self.get(key, choices.__getitem__, " or ".join(choices), default)

    def sub(self, key: str) -> Node:
        return Node(self.data.get(key) or {}, self.at(key))


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError
    try:
        found = float(value)
    except OverflowError:  # a whole number of hundreds of digits
        raise ValueError from None
    if not math.isfinite(found):
        raise ValueError
    return found


def _seconds(value: Any) -> float:
    if not 0 < _number(value) <= DAY:
        raise ValueError
    return float(value)


def _at_least_1(value: Any) -> float:
    if _number(value) < 1:
        raise ValueError
    return float(value)


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError
    return value


def _list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError
    return value


def address(text: Any) -> Address:
    """An address in the form 'HOST:PORT', with an IPv6 host in brackets."""
    host, colon, port = _text(text).rpartition(":")
    if not colon or not host or not 0 <= int(port) <= 65535:
        raise ValueError
    if host.startswith("[") and host.endswith("]"):  # RFC 3986, 3.2.2: an IPv6 literal
        host = host[1:-1]
    elif ":" in host:
        raise ValueError
    return host, int(port)


# The settings of the decisions --------------------------------------------------------------------

_EFFECTS = {
    "idempotent": api.Idempotency.IDEMPOTENT,
    "deduplicated": api.Idempotency.WITH_KEY,
    "at_most_once": api.Idempotency.NONE,
}
_SCOPES = {scope.value: scope for scope in api.Scope}
_FAULTS_TOLD = {"all": True, "hit": False, "off": False}
_PEER_FILLS = {fill.value: fill for fill in api.PeerFill}
REPORTS = {"rif": "held", "inflight": "held", "q": "queued", "queue": "queued", "x0": "hits", "x1": "link",
           "util": "busy"}  # fmt: skip


def _classes(conf: Node, domain: Node) -> tuple[api.RequestClass, ...]:
    fresh, usable = domain.numbers("freshFor"), domain.numbers("usableAfter")
    stale = domain.numbers("classStaleWorth")
    kept, parts = domain.many("neverKept", _flag, "flags", []), domain.many("inPieces", _flag, "flags", [])

    def of(values: tuple[T, ...], i: int, absent: T) -> T:
        return values[i] if i < len(values) else absent

    found = []
    for i, raw in enumerate(conf.get("categories", _list, "a list", None)):
        c = Node(raw, f"{conf.at('categories')}[{i}]")
        found.append(
            api.RequestClass(
                latency_objective=c.num("onTime"),
                timeout=c.get("deadline", _seconds, "a number above 0, a day at most", None),
                idempotency=c.choice("effect", _EFFECTS),
                objective_per_transfer=c.num("aimStretch", 0.0),
                priority_weight=c.num("value", 1.0),
                late_weight=c.num("lateWorth", 0.0),
                scope=c.choice("keyScope", _SCOPES, api.Scope.ALL),
                deduplication_window=c.num("window", 0.0),
                streamed=c.flag("stream"),
                fresh_seconds=of(fresh, i, 0.0),
                stale_if_error_seconds=of(usable, i, 0.0),
                stale_weight=of(stale, i, 0.0),
                uncacheable=of(kept, i, False),
                partitioned=of(parts, i, False),
            )
        )
    return tuple(found)


def settings_of(conf: Node) -> api.Settings:
    """The settings of a Router; unknown keys are skipped."""
    domain, limits, rules = conf.sub("domain"), conf.sub("ceilings"), conf.sub("invariants")
    report, overload_seconds = conf.sub("report"), rules.num("overloadFor", 1.0)
    return api.Settings(
        classes=_classes(conf, domain),
        zone=conf.whole("az", 0),
        routers_by_zone=tuple(map(int, domain.numbers("seatsByZone"))),
        routers=conf.whole("replicasOfMe", 1),
        instance=conf.whole("me", 0),
        parent_kind=domain.whole("midKind", -1),
        origin_kind=domain.whole("originKind", -1),
        hub_of_zone=tuple(map(int, domain.numbers("attachedTo"))),
        link_kb_per_s=domain.numbers("pipeKbPerS"),
        client_kb_per_s=domain.num("clientKbPerS", 0.0),
        cache_slow_start=api.SlowStart(
            rules.num("coldFrom", 1.0),
            rules.num("warmUp", 0.0),
            rules.num("fallMultiple", 0.0),
            overload_seconds,
        ),
        parent_slow_start=api.SlowStart(
            domain.num("parentStartsAt", 1.0),
            domain.num("parentRamp", 0.0),
            domain.num("upperFallMultiple", 0.0),
            overload_seconds,
        ),
        drain_grace=rules.num("drainGrace", 0.0),
        answer_slack=rules.num("answerSlack", 0.0),
        purge_grace=domain.num("noticeTime", 0.0),
        purge_done=domain.num("goneEverywhere", 0.0),
        max_attempts=int(limits.get("attemptsCap", _at_least_1, "a whole number above 0", 1.0)),
        connect_timeout=limits.num("connectTimeout", 0.0),
        may_cancel=limits.flag("mayCancel"),
        hedged_requests=limits.flag("secondCopies"),
        probes=limits.flag("probes"),
        retry_after=limits.flag("retryAfter"),
        max_retry_after=limits.num("maxRetryAfter", 0.0),
        may_bypass_caches=domain.flag("mayPassBy"),
        coalesces_fills=domain.flag("mergesFills"),
        fill_faults_reported=domain.choice("detail", _FAULTS_TOLD, True),
        peer_fill=domain.choice("peersFill", _PEER_FILLS, api.PeerFill.OFF),
        origin_overload_factor=domain.num("originStopsAt", 0.0),
        origin_overload_seconds=domain.num("rootFall", 0.0),
        weights_known=conf.text("weightSource", "off") in ("nominal", "rough"),
        must_subscribe=conf.text("registryMode", "automatic") == "subscribe",
        subscribe_within=rules.num("mustAskIn", 0.0),
        report_names=tuple(REPORTS.get(n, n) for n in report.many("names", _text, "texts", [])),
        load_by_health_check=report.text("how", "off") == "on_probe",
        clients_mark_retries=conf.sub("clients").flag("marksRetry"),
    )


def settings_from(text: bytes) -> api.Settings:
    """The settings in the simulator's start message."""
    return settings_of(Node(_parsed(text, "settings"), "settings"))


def _parsed(text: bytes, name: str) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as fault:
        raise ConfigError(f"{name} is not JSON: {fault}") from None


# The daemon's file --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Names:
    """What the settings name and number: a place in the list is the number in the file."""

    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """All that one front is told."""

    name: str
    listen: Address
    coordinator: Address | None
    control: Address | None  # where operators call
    seed: int
    memory_mb: int
    sockets: int
    settings: api.Settings
    names: Names
    idle_close: float
    streams: int
    most_open: int  # requests that may be open at once
    most_unread: int  # bytes of answers that all clients together may leave unread
    known: dict[str, Any]
    raw: dict[str, Any] = field(default_factory=dict, repr=False, compare=False)  # the file without `known`


@dataclass(frozen=True, slots=True)
class Host:
    """A host name of the DNS front and what it stands for."""

    name: str
    request_class: int
    object: int
    group: int


@dataclass(frozen=True, slots=True)
class DnsConfig:
    """The DNS front."""

    listen: Address
    zone: str
    deadline: float
    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class RemoteWriteConfig:
    """One receiver of samples, and what is kept for it while it does not take them."""

    host: str
    port: int
    path: str
    every: float = 15.0
    most_bytes: int = 1 << 20  # in memory
    spool: str | None = None  # a folder
    spool_bytes: int = 64 << 20
    version: int = 2  # of the protocol, to begin with
    replay_bytes_per_s: float = 1e6


@dataclass(frozen=True, slots=True)
class PolicyConfig:
    """Where a front learns the policy of its fleet, and whether it goes on without it once it is cut off."""

    group: str
    keepers: dict[str, str]
    go_on: bool = False


@dataclass(frozen=True, slots=True)
class DutiesConfig:
    """Where a front takes part in the fleet's work, and which duties it would own."""

    group: str
    keepers: dict[str, str]
    wants: tuple[str, ...]
    figures: RemoteWriteConfig | None = None  # where the fleet's sums go


@dataclass(frozen=True, slots=True)
class Operator:
    """The operator's file: all that is off without it."""

    dns: DnsConfig | None = None
    metrics: Address | None = None
    remote_write: tuple[RemoteWriteConfig, ...] = ()
    admission: Limits | None = None
    control: str | None = None  # the path of the unix socket that operators' commands use
    policy: PolicyConfig | None = None
    duties: DutiesConfig | None = None


def read_operator(path: str | Path) -> dict[str, Any]:
    """The operator's file as parsed TOML; ConfigError where it cannot be read."""
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as fault:
        raise ConfigError(f"'ZINCLADDER_OPERATOR' cannot be read: {fault}") from None


def load_operator(names: Names, environ: Mapping[str, str] = os.environ) -> Operator:
    """Reads the file named by ZINCLADDER_OPERATOR; without it all that it sets up is off."""
    path = environ.get("ZINCLADDER_OPERATOR")
    if not path:
        return Operator()
    # Imported here: a front without such a file starts sooner after a restart, and holds a megabyte less.
    from zincladder.config.operator import operator_of

    return operator_of(read_operator(path), names)


def config_of(data: Any) -> Config:
    """The daemon's configuration from its JSON."""
    top = Node(data, "")
    conf, limits = Node(top.data.get("settings"), "settings"), top.sub("limits")
    ceilings = conf.sub("ceilings")
    raw = conf.get("categories", _list, "a list", None)
    names = Names(
        tuple(Node(c, f"settings.categories[{i}]").text("name") for i, c in enumerate(raw)),
        conf.many("zones", _text, "texts", []),
        conf.many("models", _text, "texts", []),
    )
    if len(set(names.classes)) < len(names.classes) or not names.classes:
        raise ConfigError("'settings.categories' must hold classes, each with a name of its own")
    memory = limits.whole("memory_mb", MEMORY_MB)
    most, unread = _room(memory, 1)
    return Config(
        name=top.text("name", "front"),
        listen=top.get("listen", address, "an address like 127.0.0.1:8080", None),
        coordinator=top.get("coordinator", address, "an address like 127.0.0.1:4222", None)
        if "coordinator" in top.data
        else None,
        control=top.get("control", address, "an address like 127.0.0.1:7070", None)
        if "control" in top.data
        else None,
        seed=top.get("seed", lambda v: int(_text(v), 16), "hex digits", 0),
        memory_mb=memory,
        sockets=limits.whole("sockets", SOCKETS),
        settings=settings_of(conf),
        names=names,
        idle_close=ceilings.num("idleClose", 30.0),
        streams=ceilings.whole("streamsPerConn", 100),
        most_open=min(most, ceilings.whole("maxOpen", most)),
        most_unread=unread,
        known=top.sub("known").data,
        raw={key: value for key, value in top.data.items() if key != "known"},
    )


FIXED = ("name", "listen", "control", "seed", "known", "idle_close", "streams")  # until the next start
PLACE = (
    "zone",
    "instance",
    "parent_kind",
    "origin_kind",
    "peer_fill",
    "weights_known",
    "must_subscribe",
    "report_names",
    "load_by_health_check",
    "probes",
)  # of the settings: where a front stands and what it can learn, until the next start too


def _room(memory_mb: int, processes: int) -> tuple[int, int]:
    """Requests that may be open at once, and bytes that clients may leave unread, at each process."""
    room = max(LEAST_MB, (memory_mb - SPARE_MB - processes * OWN_MB) // processes) << 20
    return room // (OPEN_KB << 10), room // 2


def shared(config: Config, processes: int) -> Config:
    """What each process of a front may hold while several run, as at an upgrade: an even part.

    Guards memory and descriptors, which are counted together, and cold members: the processes of one front
    are as many routers, each of which would send a front's whole part.
    """
    if processes <= 1:
        return config
    s, more = config.settings, processes - 1
    most, unread = _room(config.memory_mb, processes)
    seats = tuple(n + more * (zone == s.zone) for zone, n in enumerate(s.routers_by_zone))
    return replace(
        config,
        memory_mb=config.memory_mb // processes,
        sockets=config.sockets // processes,
        most_open=min(most, config.most_open),
        most_unread=unread,
        settings=replace(s, routers=s.routers + more, routers_by_zone=seats),
    )


def renewed(old: Config, new: Config) -> tuple[Config, list[str]]:
    """What a running front takes from a file that was read again, and the keys that wait for the next start.

    Guards against a file that lost a part: a default would quietly take the place of what was meant. Classes
    may come and go, so each is held to what all classes of the old file have. ConfigError where it is not
    whole.
    """
    _holds(old.raw, new.raw, "")
    names = replace(new.names, zones=old.names.zones, kinds=old.names.kinds)
    place = {key: getattr(old.settings, key) for key in PLACE}
    fixed = {key: getattr(old, key) for key in FIXED}
    waiting = [key for key in FIXED if key not in ("seed", "known") and getattr(new, key) != fixed[key]]
    waiting += [f"settings: {key}" for key in PLACE if getattr(new.settings, key) != place[key]]
    return replace(new, settings=replace(new.settings, **place), names=names, **fixed), waiting


def _holds(old: dict[str, Any], new: dict[str, Any], path: str) -> None:
    for key, value in old.items():
        at = f"{path}.{key}" if path else key
        if key not in new:
            raise ConfigError(f"'{at}' is missing")
        if type(new[key]) is not type(value) and not _both_numbers(value, new[key]):
            raise ConfigError(f"'{at}' is not of the kind that it was")
        if isinstance(value, dict):
            _holds(value, new[key], at)
        elif key == "categories":
            common = set.intersection(*(set(c) for c in value)) if value else set()
            for i, c in enumerate(new[key]):
                if lost := sorted(common - set(c)):
                    raise ConfigError(f"'{at}[{i}].{lost[0]}' is missing")


def _both_numbers(a: Any, b: Any) -> bool:
    return all(isinstance(v, int | float) and not isinstance(v, bool) for v in (a, b))


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Reads the file named by RELAY_CONFIG; RELAY_LISTEN and RELAY_NAME go before what it says."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("'RELAY_CONFIG' is not set: it must name the configuration file")
    try:
        text = Path(path).read_bytes()
    except OSError as fault:
        raise ConfigError(f"'RELAY_CONFIG' cannot be read: {fault}") from None
    data = _parsed(text, "RELAY_CONFIG's file")
    if isinstance(data, dict):
        places = (("RELAY_LISTEN", "listen"), ("RELAY_NAME", "name"), ("RELAY_CONTROL", "control"))
        for variable, key in places:
            data |= {key: environ[variable]} if variable in environ else {}
    return config_of(data)
