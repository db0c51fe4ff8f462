"""The values that each configuration key is parsed to, and the error texts for missing and invalid values."""

from __future__ import annotations

import copy
import json
import re
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import pytest

from tests.support.golden import assert_matches, positional
from zincladder.config import (
    ConfigError,
    Names,
    divide_limits,
    load,
    load_operator,
    merge_reloaded,
    parse_config,
    parse_settings,
)
from zincladder.config.check import config_errors, operator_errors
from zincladder.config.operator import parse_operator
from zincladder.config.replica import parse_replica_config

ROOT = Path(__file__).resolve().parents[2]
NAMES = Names(("video", "page", "booking"), (), ())
CATEGORIES = [
    {"name": "video", "onTime": 0.5, "deadline": 6.0, "effect": "idempotent", "aimStretch": 2.0, "value": 2.0,
     "lateWorth": 0.25, "keyScope": "all", "window": 0.0, "stream": True},
    {"name": "page", "onTime": 0.3, "deadline": 2.5, "effect": "deduplicated", "keyScope": "zone",
     "window": 9.0},
    {"name": "booking", "onTime": 0.8, "deadline": 3.0, "effect": "at_most_once", "keyScope": "cell"},
]  # fmt: skip
FULL: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:8080",
    "coordinator": "127.0.0.1:4222",
    "control": "[::1]:7070",
    "seed": "8c1f30d27a5be964",
    "limits": {"memory_mb": 256, "sockets": 512},
    "settings": {
        "az": 1,
        "me": 2,
        "replicasOfMe": 5,
        "weightSource": "rough",
        "registryMode": "subscribe",
        "zones": ["main", "edge-1"],
        "models": ["small", "parent", "origin"],
        "categories": CATEGORIES,
        "clients": {"marksRetry": True},
        "report": {"how": "on_probe", "names": ["busy", "rif", "x1"]},
        "ceilings": {"attemptsCap": 8, "connectTimeout": 0.4, "mayCancel": True, "secondCopies": True,
                     "probes": True, "retryAfter": True, "maxRetryAfter": 1.25, "idleClose": 31.0,
                     "streamsPerConn": 90, "maxOpen": 77},
        "domain": {"freshFor": [0.0, 8.0, 0.0], "usableAfter": [0.0, 30.0, 0.0],
                   "classStaleWorth": [0.5, 0.6], "neverKept": [False, False, True],
                   "inPieces": [True, False, False], "seatsByZone": [2, 3],
                   "midKind": 1, "originKind": 2, "attachedTo": [0, 1], "pipeKbPerS": [10.5, 20.5],
                   "clientKbPerS": 99.0, "parentStartsAt": 0.2, "parentRamp": 7.0, "upperFallMultiple": 2.5,
                   "noticeTime": 1.5, "goneEverywhere": 6.5, "mayPassBy": True, "mergesFills": True,
                   "detail": "hit", "peersFill": "location", "originStopsAt": 11.0, "rootFall": 1.75},
        "invariants": {"overloadFor": 1.5, "coldFrom": 0.29, "warmUp": 18.0, "fallMultiple": 3.0,
                       "drainGrace": 0.55, "answerSlack": 0.05, "mustAskIn": 4.0},
    },
    "known": {"index": 1, "updates": []},
}  # fmt: skip
OPERATOR: dict[str, Any] = {
    "dns": {"listen": "127.0.0.1:0", "zone": "Main.Example.org.", "deadline_ms": 125.0,
            "host": [{"name": "papers.main.example.org", "class": "page", "object": "7f", "group": 17}]},
    "metrics": {"listen": "127.0.0.1:9464"},
    "remote_write": [
        {"url": "http://127.0.0.1:9090/api/v1/write?x=1", "every_s": 3.0, "queue_kb": 64, "spool": "/tmp/a",
         "spool_mb": 2, "version": 1, "replay_kb_per_s": 50.0},
        {"url": "http://[::1]/w"},
    ],
    "admission": {
        "enabled": True, "per_address": 3, "per_network": 4, "dns_rate": 5.5, "dns_burst": 6,
        "dns_per_address": 7, "known_per_address": 8, "rate": 9.5, "burst": 10, "network_rate": 11.5,
        "network_burst": 12, "reserve": 0.13, "sources": 1400, "known_after_s": 15.0, "known_for_s": 16.0,
        "penalty_s": 17.0, "penalty_most_s": 18.0, "known_share": 0.19, "new_share": 0.2, "lobby": 21,
        "network": [{"net": "10.0.0.0/8", "connections": 22, "rate": 23.0}], "blocked": ["192.0.2.0/24"],
    },
    "control": {"socket": "/tmp/control"},
    "policy": {"group": "g", "keepers": {"r1": "127.0.0.1:1"}, "cut_off": "go_on"},
    "duties": {"group": "g", "keepers": {"r1": "127.0.0.1:1"}, "wants": ["figures"],
               "figures": {"url": "http://127.0.0.1:9090/", "every_s": 4.0, "version": 1}},
}  # fmt: skip
REPLICA: dict[str, Any] = {
    "keeper": {"group": "g", "name": "r1", "listen": "127.0.0.1:7300", "directory": "/tmp/r1",
               "members": {"r1": "127.0.0.1:1", "r2": "127.0.0.1:2", "r3": "127.0.0.1:3"},
               "via": {"r2": "127.0.0.1:4"}, "heartbeat_ms": 50.0, "election_ms": 500.0,
               "metrics": "127.0.0.1:9300"},
    "lease": {"seconds": 6.0, "renew_s": 1.1, "drift": 0.02, "check_s": 3.5, "clear_s": 0.4, "least": 0.6,
              "patient_s": 16.0, "act_s": 0.3},
}  # fmt: skip
REPLACEMENT_VALUES: tuple[Any, ...] = ([[]], {"x": 1}, "?", -1, 1e400, True, None)
MISSING = object()


def paths(value: Any, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    """Yields the path of each value in a document, except 'known' and the values under it."""
    steps = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in steps:
        if (*path, key) != ("known",):
            yield (*path, key)
            yield from paths(inner, (*path, key))


def with_value(data: dict[str, Any], path: tuple[str | int, ...], value: Any) -> dict[str, Any]:
    found: Any = copy.deepcopy(data)
    at = found
    for step in path[:-1]:
        at = at[step]
    if value is MISSING:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    assert isinstance(found, dict)
    return found


def parse_outcome(read: Callable[[Any], Any], data: Any) -> str:
    try:
        read(data)
    except ConfigError as error:
        return str(error)
    return "taken"


def error_texts(read: Callable[[Any], Any], data: dict[str, Any]) -> dict[str, list[str]]:
    """Returns, for each path, the outcomes of removing its value and of replacing it by various others.

    An outcome is the text of the error, or "taken" if the data was accepted.
    """
    return {
        ".".join(map(str, path)): [
            parse_outcome(read, with_value(data, path, value)) for value in (MISSING, *REPLACEMENT_VALUES)
        ]
        for path in paths(data)
    }


def test_each_key_is_parsed_to_its_value() -> None:
    full, bare = (
        parse_config(FULL),
        parse_config({"listen": "127.0.0.1:0", "settings": {"categories": CATEGORIES}}),
    )
    stripped = [replace(full, raw={}, known_events={}), replace(bare, raw={}, known_events={})]
    found = {
        "all keys": positional(stripped[0]),
        "none": positional(stripped[1]),
        "one of three processes": positional(replace(divide_limits(full, 3), raw={}, known_events={})),
        "simulator": positional(parse_settings(json.dumps(FULL["settings"]).encode())),
        "operator's": positional(parse_operator(OPERATOR, NAMES)),
        "operator's, none": positional(parse_operator({}, NAMES)),
        "replica's": [
            str(v) if isinstance(v, Path) else positional(_values_of_struct(v))
            for v in _values_of_fields(parse_replica_config(REPLICA))
        ],
    }
    assert full.raw == {key: value for key, value in FULL.items() if key != "known"}
    assert full.known_events == FULL["known"]
    assert_matches("configuration/values.json", found)


def _values_of_fields(config: Any) -> list[Any]:
    return [getattr(config, field.name) for field in fields(config)]


def _values_of_struct(value: Any) -> Any:
    """Returns a msgspec struct as the list of its values, and any other value unchanged."""
    return (
        [getattr(value, name) for name in value.__struct_fields__]
        if hasattr(value, "__struct_fields__")
        else value
    )


def test_error_texts_for_a_configuration() -> None:
    found = error_texts(parse_config, FULL)
    documents: list[Any] = [[], None, {}, {"settings": []}]
    found["all"] = [parse_outcome(parse_config, data) for data in documents]
    assert_matches("configuration/faults.json", found)


def test_error_texts_for_an_operators_file() -> None:
    found = error_texts(lambda data: parse_operator(data, NAMES), OPERATOR)
    invalid_files: list[dict[str, Any]] = [
        {"dns": OPERATOR["dns"] | {"host": [{"name": "a.org", "class": "page"}]}},
        {"admission": {"known_share": 0.8, "new_share": 0.8}},
        {"admission": {"penalty_s": 9.0, "penalty_most_s": 1.0}},
        {"admission": {"blocked": ["10.0.0.1/8"]}},
        {"remote_write": [{"url": "http://a/", "spool": "x"}] * 2},
        {"remote_write": {"url": "http://a:b/"}},
        {"policy": {"group": "g", "keepers": {}}},
        {"duties": {"group": "g", "keepers": {"a": "b"}}},
        {"duties": {"group": "g", "keepers": {"a": "127.0.0.1:1"}, "wants": ["figures"]}},
        {"tables": {}},
    ]
    found["more"] = [parse_outcome(lambda data: parse_operator(data, NAMES), data) for data in invalid_files]
    found["all at once"] = operator_errors(
        {key: value for data in invalid_files for key, value in data.items()}, NAMES
    )
    assert_matches("configuration/operator_faults.json", found)


def test_error_texts_for_a_replicas_file() -> None:
    found = error_texts(parse_replica_config, REPLICA)
    members = {f"r{n}": f"127.0.0.1:{n}" for n in range(1, 5)}
    invalid_files: list[dict[str, Any]] = [
        REPLICA | {"lease": {"seconds": 2.0, "renew_s": 1.0}},
        REPLICA | {"lease": {"seconds": 3.0, "renew_s": 1.0, "act_s": 2.0}},
        REPLICA | {"keeper": REPLICA["keeper"] | {"members": members}},
        REPLICA | {"keeper": REPLICA["keeper"] | {"name": "r9"}},
        REPLICA | {"keeper": REPLICA["keeper"] | {"election_ms": 60.0}},
        REPLICA | {"table": {}},
    ]
    found["more"] = [parse_outcome(parse_replica_config, data) for data in invalid_files]
    assert_matches("configuration/replica_faults.json", found)


def test_a_reload_applies_some_changes_and_reports_those_that_need_a_restart() -> None:
    old = parse_config(FULL)
    found: dict[str, Any] = {}
    for path in paths(FULL):
        value: Any = FULL
        for step in path:
            value = value[step]
        other: Any = MISSING
        if isinstance(value, bool):
            other = not value
        elif isinstance(value, int | float):
            other = value + 1
        for change in (MISSING, other):
            try:
                new = parse_config(with_value(FULL, path, change))
            except ConfigError:
                continue
            key = ".".join(map(str, path)) + (" gone" if change is MISSING else "")
            try:
                config, needs_restart = merge_reloaded(old, new)
                found[key] = [
                    needs_restart,
                    config.settings == old.settings,
                    replace(config, raw={}) == replace(old, raw={}),
                ]
            except ConfigError as error:
                found[key] = [str(error)]
    found["listen, name and zone"] = [
        merge_reloaded(old, parse_config(FULL | {"listen": "127.0.0.1:1", "name": "n2"}))[1]
    ]
    assert_matches("configuration/reload.json", found)


def test_files_and_overrides_are_read_from_environment_variables(tmp_path: Path) -> None:
    path, table = tmp_path / "config.json", tmp_path / "operator.toml"
    path.write_text(json.dumps(FULL))
    table.write_text('[control]\nsocket = "/tmp/x"\n')
    environ_with_file = {"RELAY_CONFIG": str(path)}
    config = load(
        environ_with_file
        | {"RELAY_LISTEN": "127.0.0.9:9", "RELAY_NAME": "n9", "RELAY_CONTROL": "127.0.0.9:8"}
    )
    assert (config.name, config.listen, config.control) == ("n9", ("127.0.0.9", 9), ("127.0.0.9", 8))
    assert load(environ_with_file) == parse_config(FULL)
    assert load_operator(NAMES, {}) == parse_operator({}, NAMES)
    assert load_operator(NAMES, {"ZINCLADDER_OPERATOR": str(table)}).control == "/tmp/x"
    found = []
    empty: dict[str, str] = {}
    for environ in (empty, {"RELAY_CONFIG": "/nowhere"}):
        with pytest.raises(ConfigError) as error:
            load(environ)
        found.append(str(error.value))
    path.write_text("{")
    with pytest.raises(ConfigError) as error:
        load(environ_with_file)
    found.append(re.sub(r": [A-Z].*", "", str(error.value)))
    with pytest.raises(ConfigError) as error:
        load_operator(NAMES, {"ZINCLADDER_OPERATOR": "/nowhere"})
    found.append(str(error.value))
    assert_matches("configuration/environment.json", found)


def test_all_errors_are_found_in_one_run() -> None:
    data = copy.deepcopy(FULL)
    data |= {"listen": "nowhere", "seed": 3, "limits": {"memory_mb": "x", "sockets": []}}
    data["settings"]["domain"]["detail"] = "some"
    data["settings"]["categories"][1]["effect"] = 3
    data["settings"]["ceilings"]["mayCancel"] = "yes"
    found, names = config_errors(data)
    assert_matches("configuration/check.json", [found, positional(names)])


def test_shipped_files_keep_their_parsed_values() -> None:
    example = parse_config(json.loads((ROOT / "example/config.json").read_text()))
    shipped = {
        name: positional(parse_operator(tomllib.loads((ROOT / "deploy" / name).read_text()), NAMES))
        for name in ("operator.toml", "admission.toml")
    }
    found = {"example": positional(replace(example, raw={}, known_events={})), **shipped}
    assert_matches("configuration/shipped.json", found)
