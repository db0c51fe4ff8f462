"""The content of a policy, and how it overrides a front's own configuration files. No I/O.

A policy is a JSON object. The keys of its `settings` override the settings in each front's platform file, and
those of its `operator` override the operator's file. The `operator` part can hold only tables that SIGHUP
reloads. A policy can't hold what differs between fronts: their addresses, limits and zones.
"""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from zincladder import config as configuration
from zincladder.config import Config, ConfigError, Operator

SECTIONS = ("settings", "operator")
OPERATOR_TABLES = ("admission",)
MAX_DEPTH = 12


@dataclass(frozen=True, slots=True)
class FrontFiles:
    """The parsed platform file and operator's file of a front, without any policy."""

    platform: dict[str, Any]
    operator: dict[str, Any]


def parse_policy(content: bytes) -> dict[str, Any]:
    """Parses a document. Raises ConfigError if it is no policy; the text names the key at fault."""
    try:
        policy = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"'policy': no JSON: {error}") from None
    if not isinstance(policy, dict) or not policy:
        raise ConfigError("'policy' must be an object that is not empty")
    for key, value in policy.items():
        if key not in SECTIONS:
            raise ConfigError(f"'{key}': there is no such part, only {', '.join(SECTIONS)}")
        if not isinstance(value, dict):
            raise ConfigError(f"'{key}' must be an object")
    for table in policy.get("operator", {}):
        if table not in OPERATOR_TABLES:
            raise ConfigError(
                f"'operator.{table}' can't be part of a policy, only {', '.join(OPERATOR_TABLES)}"
            )
    for path, _ in leaves(policy):
        if path.count(".") > MAX_DEPTH:
            raise ConfigError(f"'{path[:80]}' lies too deep")
    return policy


def canonical(policy: dict[str, Any]) -> bytes:
    """Encodes a policy as a document. Equal policies give equal bytes, and so the same document id."""
    return json.dumps(policy, sort_keys=True, separators=(",", ":")).encode()


def leaves(value: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Yields each value other than an object, with its dotted path. A list counts as one value."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from leaves(inner, f"{path}.{key}" if path else str(key))
    else:
        yield path, value


def merged(own: dict[str, Any], policy: dict[str, Any]) -> dict[str, Any]:
    """Returns a copy of `own` in which the values that the policy sets replace the original ones."""
    result = copy.deepcopy(own)
    for key, value in policy.items():
        if isinstance(value, dict) and isinstance(result.get(key), dict):
            result[key] = merged(result[key], value)
        else:
            result[key] = copy.deepcopy(value)
    return result


def configuration_under(
    files: FrontFiles, policy: dict[str, Any], current: Config
) -> tuple[Config, Operator]:
    """Returns the configuration that results from a front's files and a policy.

    Raises ConfigError for an invalid value, and for a key that a running front can't apply.
    """
    settings = merged(files.platform.get("settings", {}), policy.get("settings", {}))
    config, deferred = configuration.merge_reloaded(
        current, configuration.parse_config(files.platform | {"settings": settings})
    )
    if deferred:
        raise ConfigError(f"'{deferred[0]}' takes effect at a front's next start only")
    from zincladder.config.operator import parse_operator

    operator = parse_operator(merged(files.operator, policy.get("operator", {})), config.names)
    return config, operator


def validation_reasons(
    files: FrontFiles, content: bytes, current: Config, has_admission: bool
) -> tuple[str, ...]:
    """Returns the reasons why this front can't serve under a document; empty if it can.

    `has_admission` is whether admission by source is enabled. Only a restart can change that.
    """
    try:
        policy = parse_policy(content)
        configuration_under(files, policy, current)
    except ConfigError as error:
        return (str(error),)
    if "admission" in policy.get("operator", {}) and not has_admission:
        return ("'operator.admission': admission by source is off at this front until its next start",)
    return ()


def overridden_keys(old: FrontFiles, new: FrontFiles, policy: dict[str, Any]) -> list[str]:
    """Returns the keys that were changed in a front's files although the policy sets them."""
    set_by_policy = {path for path, _ in leaves(policy)}
    before = dict(_file_leaves(old))
    return sorted(
        path for path, value in _file_leaves(new) if path in set_by_policy and before.get(path) != value
    )


def _file_leaves(files: FrontFiles) -> Iterator[tuple[str, Any]]:
    yield from leaves({"settings": files.platform.get("settings", {}), "operator": files.operator})


def difference(old: dict[str, Any], new: dict[str, Any]) -> list[tuple[str, Any, Any]]:
    """Returns each path whose value differs, with the old and the new value; None stands for no value."""
    before, after = dict(leaves(old)), dict(leaves(new))
    return [
        (path, before.get(path), after.get(path))
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    ]
