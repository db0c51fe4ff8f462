"""The operator's file: its tables, their checks and defaults. Imported only where such a file is named.

Tables are msgspec structs; a fault becomes a ConfigError whose text names the key as a path from the top.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal, TypeVar
from urllib.parse import urlsplit

import msgspec
from msgspec import Meta

from zincladder.admission.model import Limits, Network
from zincladder.admission.networks import NetworkMap
from zincladder.config import (
    Address,
    ConfigError,
    DnsConfig,
    DnsHost,
    DutiesConfig,
    Names,
    Operator,
    PolicyConfig,
    RemoteWriteConfig,
    parse_address,
)

T = TypeVar("T")
Whole = Annotated[int, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=0.9)]
MOST_FAULTS = 20


class HostTable(msgspec.Struct, forbid_unknown_fields=True):
    """[[dns.host]]"""

    name: str
    request_class: str = msgspec.field(name="class")
    object: str = "0"
    group: Annotated[int, Meta(ge=0, le=255)] = 0


class DnsTable(msgspec.Struct, forbid_unknown_fields=True):
    """[dns]"""

    listen: str
    zone: str
    host: list[HostTable]
    deadline_ms: Positive = 250.0


class MetricsTable(msgspec.Struct, forbid_unknown_fields=True):
    """[metrics]"""

    listen: str


class RemoteWriteTable(msgspec.Struct, forbid_unknown_fields=True):
    """[remote_write], or [[remote_write]] for several receivers"""

    url: str
    every_s: Positive = 15.0
    queue_kb: Annotated[int, Meta(ge=16, le=1 << 20)] = 1024
    spool: Annotated[str, Meta(min_length=1)] | None = None
    spool_mb: Annotated[int, Meta(ge=1, le=1 << 16)] = 64
    version: Annotated[int, Meta(ge=1, le=2)] = 2
    replay_kb_per_s: Positive = 1000.0


class ControlTable(msgspec.Struct, forbid_unknown_fields=True):
    """[control]"""

    socket: Annotated[str, Meta(min_length=1, max_length=100)]  # sockaddr_un holds 108 bytes


class PolicyTable(msgspec.Struct, forbid_unknown_fields=True):
    """[policy]"""

    group: Annotated[str, Meta(min_length=1, max_length=64)]
    keepers: dict[str, str]
    cut_off: Literal["stop", "go_on"] = "stop"


class FiguresTable(msgspec.Struct, forbid_unknown_fields=True):
    """[duties.figures]"""

    url: str
    every_s: Annotated[float, Meta(ge=0.2, le=3600)] = 15.0
    version: Annotated[int, Meta(ge=1, le=2)] = 2


class DutiesTable(msgspec.Struct, forbid_unknown_fields=True):
    """[duties]"""

    group: Annotated[str, Meta(min_length=1, max_length=64)]
    keepers: dict[str, str]
    wants: list[Literal["figures"]] = []
    figures: FiguresTable | None = None


class NetworkTable(msgspec.Struct, forbid_unknown_fields=True):
    """[[admission.network]]"""

    net: str
    connections: Whole = 0
    rate: Annotated[float, Meta(ge=0)] = 0.0


class AdmissionTable(msgspec.Struct, forbid_unknown_fields=True):
    """[admission]; the defaults are those of Limits."""

    enabled: bool = True
    per_address: Count = Limits.per_address
    per_network: Count = Limits.per_network
    dns_rate: Positive = Limits.dns_rate
    dns_burst: Count = Limits.dns_burst
    dns_per_address: Count = Limits.dns_per_address
    known_per_address: Count = Limits.known_per_address
    rate: Positive = Limits.rate
    burst: Count = Limits.burst
    network_rate: Positive = Limits.network_rate
    network_burst: Count = Limits.network_burst
    reserve: Share = Limits.reserve
    sources: Annotated[int, Meta(ge=256, le=1_000_000)] = Limits.sources
    known_after_s: Annotated[float, Meta(ge=1, le=60)] = Limits.known_after
    known_for_s: Positive = Limits.known_for
    penalty_s: Positive = Limits.penalty
    penalty_most_s: Positive = Limits.penalty_most
    known_share: Share = Limits.known_share
    new_share: Share = Limits.new_share
    lobby: Annotated[int, Meta(ge=0, le=64)] = Limits.lobby
    network: list[NetworkTable] = []
    blocked: list[str] = []


TABLES: dict[str, Any] = {
    "dns": DnsTable,
    "metrics": MetricsTable,
    "remote_write": RemoteWriteTable,
    "admission": AdmissionTable,
    "control": ControlTable,
    "policy": PolicyTable,
    "duties": DutiesTable,
}
AT = re.compile(r" - at `\$(.*)`$")
FIELD = re.compile(r"Object (?:missing required|contains unknown) field `([^`]*)`")


def fault_at(fault: msgspec.ValidationError, table: str) -> tuple[str, str]:
    """The path of the faulty key and what is wrong with it."""
    text = str(fault)
    at = AT.search(text)
    path = table + (at.group(1) if at else "")
    said = text[: at.start()] if at else text
    if field := FIELD.match(said):
        path = f"{path}.{field.group(1)}"
        said = "it is missing" if "missing" in said else "there is no such key"
    return path, said


def _table(data: dict[str, Any], name: str, kind: type[T]) -> T | None:
    if name not in data:
        return None
    try:
        return msgspec.convert(data[name], kind)
    except msgspec.ValidationError as fault:
        path, said = fault_at(fault, name)
        raise ConfigError(f"'{path}': {said}") from None


def _address(text: str, key: str) -> Address:
    try:
        return parse_address(text)
    except ValueError:
        raise ConfigError(f"'{key}' must be an address like 127.0.0.1:9090, not {text[:40]!r}") from None


def _dns(dns: DnsTable, names: Names | None) -> DnsConfig:
    zone = dns.zone.rstrip(".").lower()
    listen = _address(dns.listen, "dns.listen")
    known = names.classes if names else dict.fromkeys(host.request_class for host in dns.host)
    classes = {name: i for i, name in enumerate(known)}
    hosts = []
    for i, host in enumerate(dns.host):
        key = f"dns.host[{i}]"
        name = host.name.rstrip(".").lower()
        if not name.endswith("." + zone):
            raise ConfigError(f"'{key}.name' must end in '.{zone}', not be {name!r}")
        if host.request_class not in classes:
            raise ConfigError(
                f"'{key}.class' must be {' or '.join(classes)}, not {host.request_class[:40]!r}"
            )
        try:
            number = int(host.object, 16)
        except ValueError:
            raise ConfigError(f"'{key}.object' must be hex digits, not {host.object[:40]!r}") from None
        hosts.append(DnsHost(name, classes[host.request_class], number, host.group))
    return DnsConfig(listen, zone, dns.deadline_ms / 1000, tuple(hosts))


def _remote_write(table: RemoteWriteTable, key: str) -> RemoteWriteConfig:
    try:
        url = urlsplit(table.url)
        good = url.scheme == "http" and bool(url.hostname)
        port = url.port or 80
    except ValueError:
        good = False
    if not good:
        raise ConfigError(f"'{key}.url' must be like http://127.0.0.1:9090/api/v1/write")
    target = (url.path or "/") + (f"?{url.query}" if url.query else "")
    return RemoteWriteConfig(
        str(url.hostname),
        port,
        target,
        table.every_s,
        table.queue_kb << 10,
        table.spool,
        table.spool_mb << 20,
        table.version,
        table.replay_kb_per_s * 1000,
    )


def _receivers(data: dict[str, Any]) -> tuple[RemoteWriteConfig, ...]:
    if not isinstance(data.get("remote_write"), list):
        one = _table(data, "remote_write", RemoteWriteTable)
        return (_remote_write(one, "remote_write"),) if one else ()
    found = []
    for i, raw in enumerate(data["remote_write"]):
        key = f"remote_write[{i}]"
        table = _table({key: raw}, key, RemoteWriteTable)
        assert table is not None
        found.append(_remote_write(table, key))
    spools = [r.spool for r in found if r.spool]
    if len(spools) != len(set(spools)):
        raise ConfigError("'remote_write' must name another 'spool' for each receiver")
    return tuple(found)


def _admission(table: AdmissionTable) -> Limits:
    if table.known_share + table.new_share > 0.99:
        raise ConfigError(
            "'admission.new_share' and 'known_share' must leave 0.01 for sources under a penalty"
        )
    if table.penalty_most_s < table.penalty_s:
        raise ConfigError("'admission.penalty_most_s' must be at least 'penalty_s'")
    check: NetworkMap[None] = NetworkMap()
    named = [(f"admission.network[{i}].net", n.net) for i, n in enumerate(table.network)]
    named += [(f"admission.blocked[{i}]", net) for i, net in enumerate(table.blocked)]
    for key, net in named:
        try:
            check.put(net, None)
        except ValueError as fault:
            raise ConfigError(f"'{key}' must be a network like 10.0.0.0/8: {fault}") from None
    return Limits(
        per_address=table.per_address,
        per_network=table.per_network,
        known_per_address=table.known_per_address,
        rate=table.rate,
        burst=table.burst,
        network_rate=table.network_rate,
        network_burst=table.network_burst,
        reserve=table.reserve,
        sources=table.sources,
        known_after=table.known_after_s,
        known_for=table.known_for_s,
        penalty=table.penalty_s,
        penalty_most=table.penalty_most_s,
        known_share=table.known_share,
        new_share=table.new_share,
        lobby=table.lobby,
        dns_rate=table.dns_rate,
        dns_burst=table.dns_burst,
        dns_per_address=table.dns_per_address,
        networks=tuple(Network(n.net, n.connections, n.rate) for n in table.network),
        blocked=tuple(table.blocked),
    )


def _keepers(places: dict[str, str], key: str) -> None:
    if not places:
        raise ConfigError(f"'{key}' must name the keepers of the group")
    for name, where in places.items():
        _address(where, f"{key}.{name}")


def _duties(table: DutiesTable) -> DutiesConfig:
    _keepers(table.keepers, "duties.keepers")
    to = None
    if table.figures is not None:
        pushes = RemoteWriteTable(table.figures.url, table.figures.every_s, version=table.figures.version)
        to = _remote_write(pushes, "duties.figures")
    if "figures" in table.wants and to is None:
        raise ConfigError("'duties.figures' must say where the figures go, or 'wants' must not name them")
    return DutiesConfig(table.group, table.keepers, tuple(table.wants), to)


def _policy(table: PolicyTable) -> PolicyConfig:
    _keepers(table.keepers, "policy.keepers")
    return PolicyConfig(table.group, table.keepers, table.cut_off == "go_on")


def operator_of(data: dict[str, Any], names: Names | None) -> Operator:
    """The operator's configuration from its parsed TOML; ConfigError names the first key that cannot be
    used.
    """
    for name in data:
        if name not in TABLES:
            raise ConfigError(f"'{name}': there is no such table, only {', '.join(TABLES)}")
    dns = _table(data, "dns", DnsTable)
    metrics = _table(data, "metrics", MetricsTable)
    remote_write = _receivers(data)
    admission = _table(data, "admission", AdmissionTable)
    control = _table(data, "control", ControlTable)
    policy = _table(data, "policy", PolicyTable)
    duties = _table(data, "duties", DutiesTable)
    return Operator(
        _dns(dns, names) if dns else None,
        _address(metrics.listen, "metrics.listen") if metrics else None,
        remote_write,
        _admission(admission) if admission and admission.enabled else None,
        control.socket if control else None,
        _policy(policy) if policy else None,
        _duties(duties) if duties else None,
    )


def faults_of(data: dict[str, Any], names: Names | None) -> list[str]:
    """Every fault that can be told from the others: each table is looked at whatever the others hold."""
    found = [f"'{n}': there is no such table, only {', '.join(TABLES)}" for n in data if n not in TABLES]
    for name in TABLES:
        left = {name: data[name]} if name in data else {}
        for _ in range(MOST_FAULTS):
            try:
                operator_of(left, names)
                break
            except ConfigError as fault:
                said = str(fault)
                found.append(said)
                if not _without(left, said.split("'")[1]):
                    break
    return found


def _without(data: dict[str, Any], path: str) -> bool:
    """Takes a faulty key out, so that the next fault of its table shows; False where that can't be done."""
    at: Any = data
    steps = re.findall(r"[^.\[\]]+", path)
    for step in steps[:-1]:
        try:
            at = at[int(step)] if isinstance(at, list) else at[step]
        except (KeyError, IndexError, ValueError, TypeError):
            return False
    if isinstance(at, dict) and steps[-1] in at:
        del at[steps[-1]]
        return True
    return False
