"""Parses a front's configuration file, which is JSON written by the platform."""

from __future__ import annotations

from typing import Any

from zincladder.config.errors import ConfigError
from zincladder.config.limits import DEFAULT_MEMORY_MB, DEFAULT_SOCKETS, request_limits
from zincladder.config.model import Address, Config, Names
from zincladder.config.node import Node, hex_number, parse_address, text
from zincladder.config.settings import categories, read_settings

DEFAULT_NAME = "front"
DEFAULT_IDLE_CLOSE_SECONDS = 30.0
DEFAULT_MAX_STREAMS = 100


def parse_config(data: Any) -> Config:
    """Returns the configuration, given its parsed JSON. Raises ConfigError for the first faulty key."""
    top = Node(data, "")
    settings, limits = Node(top.data.get("settings"), "settings"), top.child("limits")
    ceilings = settings.child("ceilings")
    names = _read_names(settings)
    memory_mb = limits.integer("memory_mb", DEFAULT_MEMORY_MB)
    max_open, max_message_bytes = request_limits(memory_mb, processes=1)
    return Config(
        name=top.text("name", DEFAULT_NAME),
        listen=top.read("listen", parse_address, "an address like 127.0.0.1:8080", None),
        coordinator=_optional_address(top, "coordinator", "an address like 127.0.0.1:4222"),
        control=_optional_address(top, "control", "an address like 127.0.0.1:7070"),
        seed=top.read("seed", hex_number, "hex digits", 0),
        memory_mb=memory_mb,
        sockets=limits.integer("sockets", DEFAULT_SOCKETS),
        settings=read_settings(settings),
        names=names,
        idle_close_seconds=ceilings.number("idleClose", DEFAULT_IDLE_CLOSE_SECONDS),
        max_streams=ceilings.integer("streamsPerConn", DEFAULT_MAX_STREAMS),
        max_open_requests=min(max_open, ceilings.integer("maxOpen", max_open)),
        max_message_bytes=max_message_bytes,
        known_events=top.child("known").data,
        raw={key: value for key, value in top.data.items() if key != "known"},
    )


def _read_names(settings: Node) -> Names:
    """Returns the names in the settings. Raises ConfigError if there is no class, or two share a name."""
    names = Names(
        tuple(category.text("name") for category in categories(settings)),
        settings.list_of("zones", text, "texts", []),
        settings.list_of("models", text, "texts", []),
    )
    if len(set(names.classes)) < len(names.classes) or not names.classes:
        raise ConfigError("'settings.categories' must hold classes, each with a name of its own")
    return names


def _optional_address(top: Node, key: str, expected: str) -> Address | None:
    """Returns an address, or None if the key is absent; a null value raises ConfigError."""
    return top.read(key, parse_address, expected, None) if key in top.data else None
