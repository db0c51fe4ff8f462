"""Validates the operator's file and converts it to an Operator.

A front imports this module only if an operator's file is named; the reason is in a comment in
`environment.load_operator`. An invalid file raises ConfigError, whose text names the faulty key by its path
from the top of the file.
"""

from __future__ import annotations

from typing import Any
from urllib.parse import SplitResult, urlsplit

from zincladder.admission.model import AdmissionLimits, ListedNetwork
from zincladder.admission.networks import NetworkMap
from zincladder.config.errors import ConfigError
from zincladder.config.model import (
    Address,
    DnsConfig,
    DnsHost,
    Names,
    Operator,
    PolicyConfig,
    RemoteWriteConfig,
    TasksConfig,
)
from zincladder.config.node import parse_address
from zincladder.config.operator_tables import (
    TABLES,
    AdmissionTable,
    ControlTable,
    DnsTable,
    DutiesTable,
    HostTable,
    MetricsTable,
    PolicyTable,
    RemoteWriteTable,
    read_table,
)

DEFAULT_HTTP_PORT = 80
MAX_KNOWN_AND_NEW_SHARE = 0.99  # the rest is left for sources under a penalty
MAX_SHOWN_LENGTH = 40  # characters of a faulty value in an error text


def parse_operator(data: dict[str, Any], names: Names | None) -> Operator:
    """Returns the operator's configuration, given its parsed TOML.

    `names` are the names in the front's settings; if they are None, every class name is accepted. Raises
    ConfigError for the first faulty key.
    """
    for name in data:
        if name not in TABLES:
            raise ConfigError(unknown_table_text(name))
    dns = read_table(data, "dns", DnsTable)
    metrics = read_table(data, "metrics", MetricsTable)
    remote_write = _read_receivers(data)
    admission = read_table(data, "admission", AdmissionTable)
    control = read_table(data, "control", ControlTable)
    policy = read_table(data, "policy", PolicyTable)
    duties = read_table(data, "duties", DutiesTable)
    return Operator(
        dns=_dns_config(dns, names) if dns else None,
        metrics=_parse_address(metrics.listen, "metrics.listen") if metrics else None,
        remote_write=remote_write,
        admission=_admission_limits(admission) if admission and admission.enabled else None,
        control=control.socket if control else None,
        policy=_policy_config(policy) if policy else None,
        tasks=_tasks_config(duties) if duties else None,
    )


def unknown_table_text(name: str) -> str:
    """Returns the error text for a table that does not exist."""
    return f"'{name}': there is no such table, only {', '.join(TABLES)}"


def _parse_address(text: str, key: str) -> Address:
    try:
        return parse_address(text)
    except ValueError:
        shown = text[:MAX_SHOWN_LENGTH]
        raise ConfigError(f"'{key}' must be an address like 127.0.0.1:9090, not {shown!r}") from None


# DNS ----------------------------------------------------------------------------------------------


def _dns_config(table: DnsTable, names: Names | None) -> DnsConfig:
    zone = _normalized_domain(table.zone)
    listen = _parse_address(table.listen, "dns.listen")
    class_names = names.classes if names else dict.fromkeys(host.request_class for host in table.host)
    classes = {name: number for number, name in enumerate(class_names)}
    hosts = tuple(
        _dns_host(host, f"dns.host[{index}]", zone, classes) for index, host in enumerate(table.host)
    )
    return DnsConfig(listen, zone, table.deadline_ms / 1000, hosts)


def _dns_host(host: HostTable, key: str, zone: str, classes: dict[str, int]) -> DnsHost:
    name = _normalized_domain(host.name)
    if not name.endswith("." + zone):
        raise ConfigError(f"'{key}.name' must end in '.{zone}', not be {name!r}")
    if host.request_class not in classes:
        shown = host.request_class[:MAX_SHOWN_LENGTH]
        raise ConfigError(f"'{key}.class' must be {' or '.join(classes)}, not {shown!r}")
    try:
        object_id = int(host.object, 16)
    except ValueError:
        shown = host.object[:MAX_SHOWN_LENGTH]
        raise ConfigError(f"'{key}.object' must be hex digits, not {shown!r}") from None
    return DnsHost(name, classes[host.request_class], object_id, host.group)


def _normalized_domain(name: str) -> str:
    """Returns a domain name in lower case and without the final dot."""
    return name.rstrip(".").lower()


# Remote write -------------------------------------------------------------------------------------


def _read_receivers(data: dict[str, Any]) -> tuple[RemoteWriteConfig, ...]:
    """Returns the receivers of one table or a list of tables; two receivers must not share a spool."""
    if not isinstance(data.get("remote_write"), list):
        table = read_table(data, "remote_write", RemoteWriteTable)
        return (_remote_write_config(table, "remote_write"),) if table else ()
    receivers = tuple(_read_receiver(raw, index) for index, raw in enumerate(data["remote_write"]))
    spools = [receiver.spool_folder for receiver in receivers if receiver.spool_folder]
    if len(spools) != len(set(spools)):
        raise ConfigError("'remote_write' must name another 'spool' for each receiver")
    return receivers


def _read_receiver(raw: Any, index: int) -> RemoteWriteConfig:
    key = f"remote_write[{index}]"
    table = read_table({key: raw}, key, RemoteWriteTable)
    assert table is not None
    return _remote_write_config(table, key)


def _remote_write_config(table: RemoteWriteTable, key: str) -> RemoteWriteConfig:
    url, port = _http_url(table.url, key)
    return RemoteWriteConfig(
        host=str(url.hostname),
        port=port,
        path=(url.path or "/") + (f"?{url.query}" if url.query else ""),
        interval_seconds=table.every_s,
        max_memory_bytes=table.queue_kb << 10,
        spool_folder=table.spool,
        max_spool_bytes=table.spool_mb << 20,
        version=table.version,
        replay_bytes_per_s=table.replay_kb_per_s * 1000,
    )


def _http_url(text: str, key: str) -> tuple[SplitResult, int]:
    """Returns the parts of an http URL and its port; raises ConfigError for any other text."""
    try:
        url = urlsplit(text)
        port = url.port or DEFAULT_HTTP_PORT
        is_http = url.scheme == "http" and bool(url.hostname)
    except ValueError:
        is_http = False
    if not is_http:
        raise ConfigError(f"'{key}.url' must be like http://127.0.0.1:9090/api/v1/write")
    return url, port


# Admission ----------------------------------------------------------------------------------------


def _admission_limits(table: AdmissionTable) -> AdmissionLimits:
    # This function is longer than most, because it has one line for each field.
    _check_admission(table)
    return AdmissionLimits(
        max_per_address=table.per_address,
        max_per_network=table.per_network,
        max_known_per_address=table.known_per_address,
        rate=table.rate,
        burst=table.burst,
        network_rate=table.network_rate,
        network_burst=table.network_burst,
        reserve=table.reserve,
        max_sources=table.sources,
        known_after_seconds=table.known_after_s,
        known_half_life_seconds=table.known_for_s,
        penalty_seconds=table.penalty_s,
        max_penalty_seconds=table.penalty_most_s,
        known_share=table.known_share,
        new_share=table.new_share,
        max_pending=table.lobby,
        dns_rate=table.dns_rate,
        dns_burst=table.dns_burst,
        max_dns_per_address=table.dns_per_address,
        networks=tuple(
            ListedNetwork(network.net, network.connections, network.rate) for network in table.network
        ),
        blocked=tuple(table.blocked),
    )


def _check_admission(table: AdmissionTable) -> None:
    if table.known_share + table.new_share > MAX_KNOWN_AND_NEW_SHARE:
        raise ConfigError(
            "'admission.new_share' and 'known_share' must leave 0.01 for sources under a penalty"
        )
    if table.penalty_most_s < table.penalty_s:
        raise ConfigError("'admission.penalty_most_s' must be at least 'penalty_s'")
    valid_networks: NetworkMap[None] = NetworkMap()
    listed = [(f"admission.network[{index}].net", network.net) for index, network in enumerate(table.network)]
    listed += [(f"admission.blocked[{index}]", network) for index, network in enumerate(table.blocked)]
    for key, network in listed:
        try:
            valid_networks.put(network, None)
        except ValueError as error:
            raise ConfigError(f"'{key}' must be a network like 10.0.0.0/8: {error}") from None


# Fleet policy and singleton tasks ----------------------------------------------------------------


def _policy_config(table: PolicyTable) -> PolicyConfig:
    _check_replicas(table.keepers, "policy.keepers")
    return PolicyConfig(table.group, table.keepers, table.cut_off == "go_on")


def _tasks_config(table: DutiesTable) -> TasksConfig:
    _check_replicas(table.keepers, "duties.keepers")
    receiver = None
    if table.figures is not None:
        figures = table.figures
        remote_write = RemoteWriteTable(figures.url, figures.every_s, version=figures.version)
        receiver = _remote_write_config(remote_write, "duties.figures")
    if "figures" in table.wants and receiver is None:
        raise ConfigError("'duties.figures' must say where the figures go, or 'wants' must not name them")
    return TasksConfig(table.group, table.keepers, tuple(table.wants), receiver)


def _check_replicas(addresses: dict[str, str], key: str) -> None:
    if not addresses:
        raise ConfigError(f"'{key}' must name the keepers of the group")
    for name, address in addresses.items():
        _parse_address(address, f"{key}.{name}")
