"""What a policy says, and what it makes of one front's own files. No I/O.

A policy is a JSON object. `settings` is laid over the settings of each front's platform file, key by key;
`operator` over its operator's file, of which only what SIGHUP takes can be part. What tells one front from
another, its addresses, limits and place, is no part of a policy.
"""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from zincladder import config as configuration
from zincladder.config import Config, ConfigError, Operator

PARTS = ("settings", "operator")
TABLES = ("admission",)  # of the operator's file
MOST_DEPTH = 12


@dataclass(frozen=True, slots=True)
class Files:
    """A front's own files as parsed, before any policy: the daemon's and the operator's."""

    platform: dict[str, Any]
    operator: dict[str, Any]


def parsed(data: bytes) -> dict[str, Any]:
    """A policy; ConfigError names what can't be part of one."""
    try:
        found = json.loads(data)
    except (ValueError, RecursionError) as fault:
        raise ConfigError(f"'policy': no JSON: {fault}") from None
    if not isinstance(found, dict) or not found:
        raise ConfigError("'policy' must be an object that is not empty")
    for key, value in found.items():
        if key not in PARTS:
            raise ConfigError(f"'{key}': there is no such part, only {', '.join(PARTS)}")
        if not isinstance(value, dict):
            raise ConfigError(f"'{key}' must be an object")
    for table in found.get("operator", {}):
        if table not in TABLES:
            raise ConfigError(f"'operator.{table}' can't be part of a policy, only {', '.join(TABLES)}")
    for path, _ in leaves(found):
        if path.count(".") > MOST_DEPTH:
            raise ConfigError(f"'{path[:80]}' lies too deep")
    return found


def canonical(policy: dict[str, Any]) -> bytes:
    """The same bytes for the same policy."""
    return json.dumps(policy, sort_keys=True, separators=(",", ":")).encode()


def leaves(value: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Each value that is no object, with its path; lists are values."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from leaves(inner, f"{path}.{key}" if path else str(key))
    else:
        yield path, value


def laid_over(own: dict[str, Any], policy: dict[str, Any]) -> dict[str, Any]:
    """A copy of `own` in which each value that the policy names is the policy's."""
    found = copy.deepcopy(own)
    for key, value in policy.items():
        if isinstance(value, dict) and isinstance(found.get(key), dict):
            found[key] = laid_over(found[key], value)
        else:
            found[key] = copy.deepcopy(value)
    return found


def under(files: Files, policy: dict[str, Any], now: Config) -> tuple[Config, Operator]:
    """This front's configuration under a policy; ConfigError names a key that it can't take as it runs."""
    settings = laid_over(files.platform.get("settings", {}), policy.get("settings", {}))
    config, waiting = configuration.merge_reloaded(
        now, configuration.parse_config(files.platform | {"settings": settings})
    )
    if waiting:
        raise ConfigError(f"'{waiting[0]}' takes effect at a front's next start only")
    from zincladder.config.operator import parse_operator

    operator = parse_operator(laid_over(files.operator, policy.get("operator", {})), config.names)
    return config, operator


def faults(files: Files, data: bytes, now: Config, admits: bool) -> tuple[str, ...]:
    """Why this front can't serve under a policy; nothing if it can. `admits`: admission by source is on."""
    try:
        policy = parsed(data)
        under(files, policy, now)
    except ConfigError as fault:
        return (str(fault),)
    if "admission" in policy.get("operator", {}) and not admits:
        return ("'operator.admission': admission by source is off at this front until its next start",)
    return ()


def taken(old: Files, new: Files, policy: dict[str, Any]) -> list[str]:
    """Keys of a front's files that were changed by hand though the policy has them."""
    owned = {path for path, _ in leaves(policy)}
    before = dict(_both(old))
    return sorted(path for path, value in _both(new) if path in owned and before.get(path) != value)


def _both(files: Files) -> Iterator[tuple[str, Any]]:
    yield from leaves({"settings": files.platform.get("settings", {}), "operator": files.operator})


def difference(old: dict[str, Any], new: dict[str, Any]) -> list[tuple[str, Any, Any]]:
    """Each path whose value differs, with both values; None where there is none."""
    a, b = dict(leaves(old)), dict(leaves(new))
    return [
        (path, a.get(path), b.get(path)) for path in sorted(a.keys() | b.keys()) if a.get(path) != b.get(path)
    ]
