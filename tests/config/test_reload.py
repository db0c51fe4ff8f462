"""What a running front takes from files that were read again, and its limits while two processes run."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from tests.support.front_configuration import configuration
from zincladder.config import ConfigError, divide_limits, merge_reloaded, parse_config


def test_processes_of_one_front_share_its_limits() -> None:
    whole = parse_config(configuration([], limits={"memory_mb": 80, "sockets": 384}))
    half = divide_limits(whole, 2)
    assert divide_limits(whole, 1) is whole and half.sockets == 192 and half.settings.routers == 2
    assert half.settings.routers_by_zone == (0, 2) and 2 * half.max_open_requests < whole.max_open_requests
    assert divide_limits(parse_config(configuration([], limits={"memory_mb": 32})), 2).max_open_requests > 20


def changed(change: Callable[[dict[str, Any]], object]) -> dict[str, Any]:
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
def test_an_incomplete_file_is_rejected_with_its_key(
    change: Callable[[dict[str, Any]], object], key: str
) -> None:
    old = parse_config(changed(lambda d: None))
    with pytest.raises(ConfigError) as fault:
        merge_reloaded(old, parse_config(changed(change)))
    assert key in str(fault.value)


def test_what_a_running_front_cannot_change_waits_for_the_next_start() -> None:
    old = parse_config(changed(lambda d: None))
    new, waiting = merge_reloaded(
        old, parse_config(changed(lambda d: d.update(listen="127.0.0.1:9") or d["settings"].update(az=0)))
    )
    assert waiting == ["listen", "settings: zone"]
    assert new.listen == old.listen and new.settings.zone == 1
