"""What a running front takes from a file that was read again."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from zincladder.config.errors import ConfigError
from zincladder.config.model import Config

# What stays as it was until the next start: fields of the configuration,
FIXED = ("name", "listen", "control", "seed", "known_events", "idle_close_seconds", "max_streams")
UNREPORTED = ("seed", "known_events")  # may change in the file without a word
REPORTED_AS = {"idle_close_seconds": "idle_close", "max_streams": "streams"}
# and of the settings: where a front stands and what it can learn.
FIXED_SETTINGS = (
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
    """The configuration in force after a reload, and the keys that take effect at the next start only.

    Guards against a file that lost a part: a default would quietly replace what was meant. Classes may come
    and go, so each must have what all classes of the old file have. Raises ConfigError for a key that is
    missing or of another kind than it was.
    """
    _check_complete(old.raw, new.raw, "")
    names = replace(new.names, zones=old.names.zones, kinds=old.names.kinds)
    fixed = {key: getattr(old, key) for key in FIXED}
    fixed_settings = {key: getattr(old.settings, key) for key in FIXED_SETTINGS}
    pending = [
        REPORTED_AS.get(key, key)
        for key in FIXED
        if key not in UNREPORTED and getattr(new, key) != fixed[key]
    ]
    pending += [
        f"settings: {key}" for key in FIXED_SETTINGS if getattr(new.settings, key) != fixed_settings[key]
    ]
    settings = replace(new.settings, **fixed_settings)
    return replace(new, settings=settings, names=names, **fixed), pending


def _check_complete(old: dict[str, Any], new: dict[str, Any], path: str) -> None:
    for key, value in old.items():
        key_path = f"{path}.{key}" if path else key
        if key not in new:
            raise ConfigError(f"'{key_path}' is missing")
        if type(new[key]) is not type(value) and not _are_numbers(value, new[key]):
            raise ConfigError(f"'{key_path}' is not of the kind that it was")
        if isinstance(value, dict):
            _check_complete(value, new[key], key_path)
        elif key == "categories":
            _check_classes(value, new[key], key_path)


def _check_classes(old: list[dict[str, Any]], new: list[dict[str, Any]], path: str) -> None:
    common_keys = set.intersection(*(set(category) for category in old)) if old else set()
    for i, category in enumerate(new):
        if missing := sorted(common_keys - set(category)):
            raise ConfigError(f"'{path}[{i}].{missing[0]}' is missing")


def _are_numbers(*values: Any) -> bool:
    return all(isinstance(value, int | float) and not isinstance(value, bool) for value in values)
