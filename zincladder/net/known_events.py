"""Reads the coordinator's events that the configuration contains; a front applies them at its start."""

from __future__ import annotations

from zincladder.config import Config, ConfigError, Node, parse_address
from zincladder.net.events import EndpointUpdateReceived, PurgeReceived, WatchEvent
from zincladder.net.protocol import STATE_NAMES
from zincladder.routing import interface as api


def read_known_events(config: Config) -> tuple[int, list[WatchEvent]]:
    """Returns the number of the last known event, and the known events.

    Raises:
        ConfigError: An event holds neither endpoints nor a purge, or has an invalid field.
    """
    known = Node(config.known_events, "known")
    last_event = known.integer("index", 0)
    events: list[WatchEvent] = []
    for position, entry in enumerate(known.data.get("updates", [])):
        update = Node(entry, f"known.updates[{position}]")
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
    endpoint_list = update.child("endpoints")
    endpoints = []
    for position, entry in enumerate(endpoint_list.data.get("endpoints", [])):
        record = Node(entry, f"{endpoint_list.path_of('endpoints')}[{position}]")
        endpoint = api.Endpoint(
            record.text("name").encode(),
            record.choice("type", kinds),
            record.choice("zone", zones),
            record.choice("status", STATE_NAMES),
            record.number("weight", 1.0),
            record.integer("group", 0),
            record.number("since_ms", 0.0) / 1000,
        )
        endpoints.append((endpoint, record.read("address", parse_address, "an address", None)))
    return EndpointUpdateReceived(
        endpoint_list.flag("snapshot"), update.integer("index", 0), tuple(endpoints)
    )
