"""The coordinator's events that a front knows at its start, from its configuration."""

from __future__ import annotations

from zincladder.config import Config, ConfigError, Node, parse_address
from zincladder.net.events import EndpointUpdateReceived, PurgeReceived, WatchEvent
from zincladder.net.protocol import STATE_NAMES
from zincladder.routing import interface as api


def read_known_events(config: Config) -> tuple[int, list[WatchEvent]]:
    """The number of the last known event, and the events.

    Raises:
        ConfigError: An event holds neither endpoints nor a purge, or a field of it cannot be used.
    """
    known = Node(config.known_events, "known")
    last_event = known.integer("index", 0)
    events: list[WatchEvent] = []
    for position, raw in enumerate(known.data.get("updates", [])):
        update = Node(raw, f"known.updates[{position}]")
        if "evict" in update.data:
            events.append(_read_purge(update.child("evict")))
        elif "endpoints" in update.data:
            events.append(_read_endpoint_update(update, config))
        else:
            raise ConfigError(f"'{update.path}' holds neither 'endpoints' nor 'evict'")
    return last_event, events


def _read_purge(purge: Node) -> PurgeReceived:
    object_id = None
    if "ref" in purge.data:
        object_id = purge.read("ref", lambda text: int(text, 16), "hex digits", None)
    return PurgeReceived(object_id, purge.integer("shard", 0), purge.number("unix_ms") / 1000)


def _read_endpoint_update(update: Node, config: Config) -> EndpointUpdateReceived:
    zones = {name: number for number, name in enumerate(config.names.zones)}
    kinds = {name: number for number, name in enumerate(config.names.kinds)}
    listed = update.child("endpoints")
    endpoints = []
    for position, raw in enumerate(listed.data.get("endpoints", [])):
        line = Node(raw, f"{listed.path_of('endpoints')}[{position}]")
        endpoint = api.Endpoint(
            line.text("name").encode(),
            line.choice("type", kinds),
            line.choice("zone", zones),
            line.choice("status", STATE_NAMES),
            line.number("weight", 1.0),
            line.integer("group", 0),
            line.number("since_ms", 0.0) / 1000,
        )
        endpoints.append((endpoint, line.read("address", parse_address, "an address", None)))
    return EndpointUpdateReceived(listed.flag("snapshot"), update.integer("index", 0), tuple(endpoints))
