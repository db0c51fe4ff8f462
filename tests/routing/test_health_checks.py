"""Load reports and the probes that request them."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from tests.support.routing import Driver, cache, only_fetch
from zincladder.routing import interface as api

Outcome = api.AttemptOutcome


def test_load_reports_of_parents_or_of_unexpected_length_are_ignored() -> None:
    driver = Driver(report_names=("link",))
    sent = only_fetch(driver.request(1))
    driver.end_attempt(1, 0, sent.endpoint, Outcome.OK, True, report=(9.0, 9.0))
    driver.handle(api.ProbeEnded(b"paren0", Outcome.OK, 0.1, (9.0,)))
    assert driver.state.location_link_load == 0.0
    driver.handle(api.ProbeEnded(b"cache0", Outcome.OK, 0.1, (9.0,)))
    assert driver.state.location_link_load == 9.0


def test_probes_are_sent_only_if_permitted_and_load_is_reported_to_probes_only() -> None:
    driver = Driver(report_names=("link",), load_by_health_check=True, probes=True)
    tokens = list(driver.router.timers)
    assert len(tokens) == 1
    driver.now += 0.5
    actions = driver.handle(api.TimerFired(tokens[0]))
    assert [type(a) for a in actions] == [api.Probe, api.SetTimer]
    assert not Driver(report_names=("link",), load_by_health_check=True).router.timers
    assert not Driver(report_names=("link",), probes=True).router.timers


@pytest.mark.parametrize("off", [{"probes": False}, {"load_by_health_check": False}])
def test_new_settings_start_and_stop_the_probes(off: dict[str, Any]) -> None:
    driver = Driver(report_names=("link",), load_by_health_check=True, probes=True)
    probed = driver.state.settings
    same = tuple(range(len(probed.classes)))
    driver.handle(api.SettingsChanged(replace(probed, **off), same))
    (token,) = driver.router.timers
    driver.now += 0.5
    # Under the new settings no probes are sent.
    assert driver.handle(api.TimerFired(token)) == [] and not driver.router.timers
    assert [type(a) for a in driver.handle(api.SettingsChanged(probed, same))] == []
    driver.update_endpoints(cache(1))
    (token,) = driver.router.timers  # the first event after the change starts the probes, once
    driver.now += 0.5
    assert [type(a) for a in driver.handle(api.TimerFired(token))] == [api.Probe, api.SetTimer]
    driver.update_endpoints(cache(1))
    assert len(driver.router.timers) == 1
