"""Merging of reloaded files into a running configuration, and the limits of each of two processes."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from tests.support.front_configuration import configuration
from zincladder.config import ConfigError, divide_limits, merge_reloaded, parse_config


def test_processes_of_one_front_share_its_limits() -> None:
    whole = parse_config(configuration([], limits={"memory_mb": 80, "sockets": 384}))
    divided = divide_limits(whole, 2)
    assert divide_limits(whole, 1) is whole and divided.sockets == 192 and divided.settings.routers == 2
    assert (
        divided.settings.routers_by_zone == (0, 2) and 2 * divided.max_open_requests < whole.max_open_requests
    )
    assert divide_limits(parse_config(configuration([], limits={"memory_mb": 32})), 2).max_open_requests > 20


def configuration_with(change: Callable[[dict[str, Any]], object]) -> dict[str, Any]:
    data: dict[str, Any] = json.loads(json.dumps(configuration([], 4222)))
    change(data)
    return data


@pytest.mark.parametrize(
    ("change", "key"),
    [
        (lambda d: d.pop("settings"), "settings"),
        (lambda d: d.pop("coordinator"), "coordinator"),
        (lambda d: d["settings"].pop("ceilings"), "settings.ceilings"),
        (lambda d: d["settings"]["ceilings"].pop("attemptsCap"), "settings.ceilings.attemptsCap"),
        (lambda d: d["settings"]["domain"].pop("freshFor"), "settings.domain.freshFor"),
        (lambda d: d["settings"]["categories"][1].pop("deadline"), "settings.categories[1].deadline"),
        (lambda d: d["settings"]["categories"][1].pop("effect"), "settings.categories[1].effect"),
        (lambda d: d["settings"]["categories"][0].update(deadline=0), "settings.categories[0].deadline"),
        (lambda d: d["settings"]["categories"][0].update(deadline=-1), "settings.categories[0].deadline"),
        (lambda d: d["settings"]["categories"][0].update(deadline=float("nan")), "categories[0].deadline"),
        (lambda d: d["settings"]["categories"][0].update(deadline=float("inf")), "categories[0].deadline"),
        (
            lambda d: d["settings"]["categories"][0].update(deadline=10**400),
            "settings.categories[0].deadline",
        ),
        (lambda d: d["settings"]["categories"][0].update(deadline="2"), "settings.categories[0].deadline"),
        (lambda d: d["settings"]["ceilings"].update(attemptsCap=0), "settings.ceilings.attemptsCap"),
        (lambda d: d["settings"]["categories"].clear(), "settings.categories"),
        (lambda d: d["settings"]["categories"][0].update(name="page"), "settings.categories"),
        (lambda d: d["settings"].update(domain=[]), "settings.domain"),
    ],
)
def test_a_reload_rejects_an_invalid_file_and_names_the_key(
    change: Callable[[dict[str, Any]], object], key: str
) -> None:
    old = parse_config(configuration_with(lambda d: None))
    with pytest.raises(ConfigError) as error:
        merge_reloaded(old, parse_config(configuration_with(change)))
    assert key in str(error.value)


def test_changes_that_need_a_restart_are_reported_and_not_applied() -> None:
    old = parse_config(configuration_with(lambda d: None))
    new, needs_restart = merge_reloaded(
        old,
        parse_config(
            configuration_with(lambda d: d.update(listen="127.0.0.1:9") or d["settings"].update(az=0))
        ),
    )
    assert needs_restart == ["listen", "settings: zone"]
    assert new.listen == old.listen and new.settings.zone == 1
