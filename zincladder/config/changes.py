"""Merges a reloaded configuration file into the configuration of a running front."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from zincladder.config.errors import ConfigError
from zincladder.config.model import Config

# Fields of Config that keep their values until the process restarts.
RESTART_ONLY_FIELDS = (
    "name",
    "listen",
    "control",
    "seed",
    "known_events",
    "idle_close_seconds",
    "max_streams",
)
UNREPORTED_FIELDS = ("seed", "known_events")  # a change of these is not reported
# The names under which a changed field is reported, where they differ from the field's.
REPORTED_NAMES = {"idle_close_seconds": "idle_close", "max_streams": "streams"}
# Fields of Settings that keep their values until the process restarts: the front's place in the fleet, and
# the information that it can get about the caches.
RESTART_ONLY_SETTINGS = (
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
)


def merge_reloaded(old: Config, new: Config) -> tuple[Config, list[str]]:
    """Returns the configuration in force after a reload, and the keys that need a restart to take effect.

    The new file must have every key of the old one, since a default would silently replace the value of a key
    that was lost. Request classes may be added and removed, so each of them must have the keys that all
    classes of the old file share. Raises ConfigError for a key that is missing or has changed its type.
    """
    _check_no_key_lost(old.raw, new.raw, "")
    names = replace(new.names, zones=old.names.zones, kinds=old.names.kinds)
    kept_fields = {key: getattr(old, key) for key in RESTART_ONLY_FIELDS}
    kept_settings = {key: getattr(old.settings, key) for key in RESTART_ONLY_SETTINGS}
    needs_restart = [
        REPORTED_NAMES.get(key, key)
        for key in RESTART_ONLY_FIELDS
        if key not in UNREPORTED_FIELDS and getattr(new, key) != kept_fields[key]
    ]
    needs_restart += [
        f"settings: {key}"
        for key in RESTART_ONLY_SETTINGS
        if getattr(new.settings, key) != kept_settings[key]
    ]
    settings = replace(new.settings, **kept_settings)
    return replace(new, settings=settings, names=names, **kept_fields), needs_restart


def _check_no_key_lost(old: dict[str, Any], new: dict[str, Any], path: str) -> None:
    """Raises ConfigError if `new` lacks a key of `old`, or holds a value of another type under it."""
    for key, value in old.items():
        key_path = f"{path}.{key}" if path else key
        if key not in new:
            raise ConfigError(f"'{key_path}' is missing")
        if type(new[key]) is not type(value) and not _are_numbers(value, new[key]):
            raise ConfigError(f"'{key_path}' is not of the kind that it was")
        if isinstance(value, dict):
            _check_no_key_lost(value, new[key], key_path)
        elif key == "categories":
            _check_classes(value, new[key], key_path)


def _check_classes(old: list[dict[str, Any]], new: list[dict[str, Any]], path: str) -> None:
    common_keys = set.intersection(*(set(category) for category in old)) if old else set()
    for i, category in enumerate(new):
        if missing := sorted(common_keys - set(category)):
            raise ConfigError(f"'{path}[{i}].{missing[0]}' is missing")


def _are_numbers(*values: Any) -> bool:
    return all(isinstance(value, int | float) and not isinstance(value, bool) for value in values)
