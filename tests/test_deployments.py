"""Both deployments at the wire: the same stories under the settings of each. A third site is a third row."""

from __future__ import annotations

import copy
from dataclasses import dataclass
from typing import Any

import pytest

from tests.stands import SETTINGS, Fetch, StubCache, client, serve, world
from zincladder import interface as api
from zincladder.decide import Router

pytestmark = pytest.mark.anyio
KEY_32 = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


@dataclass(frozen=True)
class Site:
    """What a deployment's settings state, and the names of its classes."""

    settings: dict[str, Any]
    read: str  # a class that is kept
    write: str  # the class that runs at the origin
    fields: dict[str, str]  # what its clients send beside the usual


def _second() -> dict[str, Any]:
    """Keyed writes, sizes told, reports in answers, listed weights, two hubs, no probes, no second copies."""
    found = copy.deepcopy(SETTINGS)
    found["categories"][1] |= {"name": "asset", "onTime": 0.25}
    found["categories"][2] |= {"name": "topup", "effect": "deduplicated", "keyScope": "all", "window": 6.0}
    found["ceilings"] |= {"attemptsCap": 6, "probes": False, "secondCopies": False, "retryAfter": True}
    found["ceilings"] |= {"maxRetryAfter": 2.0}
    found["domain"] |= {"freshFor": [0.0] * 3, "usableAfter": [0.0] * 3, "detail": "all", "peersFill": "any"}
    found["domain"] |= {"clientKbPerS": 4000.0, "attachedTo": [0, 1]}
    found["invariants"] |= {"drainGrace": 1.0, "overloadFor": 1.5}
    found["report"] = {"how": "inline", "names": ["busy", "rif", "x1", "x0"]}
    return found | {"weightSource": "rough"}


SITES = {
    "first": Site(SETTINGS, "page", "booking", {}),
    "second": Site(_second(), "asset", "topup", {"nonce": KEY_32, "size": "412.5"}),
}
both = pytest.mark.parametrize("site", SITES.values(), ids=SITES)
second = SITES["second"]


@both
async def test_what_names_a_request_is_passed_on_with_every_attempt(site: Site) -> None:
    async def lacks(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(404)  # it never ran, so it goes out again

    async with world(serve, origin=lacks, settings=site.settings) as w, client(w) as c:
        await c.ask(b"order", **({"route": site.write} | site.fields))
        assert (await c.reply()).kind == "Throttled"
        sent = w.caches[-1].fetches
        assert len(sent) > 1
        assert {(f.name, f.body, f.fields["item"]) for f in sent} == {
            (f"{1:016x}", b"order", "7f3a9c21e0b4d655")
        }
        assert {f.fields.get("nonce") for f in sent} == {site.fields.get("nonce")}


@pytest.mark.parametrize("nonce", [None, "", "a,up=s-1", "x" * 65])
async def test_a_keyed_write_without_a_key_that_can_be_used_is_not_passed_on(nonce: str | None) -> None:
    # guards rule 2: nothing would drop its repeats; and a comma would add fields of the client's choice
    fields = {} if nonce is None else {"nonce": nonce}
    async with world(serve, settings=second.settings) as w, client(w) as c:
        await c.ask(b"order", **({"route": "topup"} | fields))
        assert (await c.reply()).kind == "application"
        await c.ask(b"order", route="topup", nonce=KEY_32)
        assert (await c.reply()).kind == "served" and len(w.caches[-1].fetches) == 1


@pytest.fixture
def told(monkeypatch: pytest.MonkeyPatch) -> list[api.Event]:
    """The events that the front gives its module."""
    events: list[api.Event] = []

    class Recording(Router):
        def handle(self, event: api.Event, now: float) -> list[api.Action]:
            events.append(event)
            return super().handle(event, now)

    monkeypatch.setattr("zincladder.core.engine.Router", Recording)
    return events


def ends(told: list[api.Event]) -> list[api.AttemptEnded]:
    return [e for e in told if isinstance(e, api.AttemptEnded)]


@both
async def test_the_time_that_a_cache_waited_for_its_source_reaches_the_module(
    site: Site, told: list[api.Event]
) -> None:
    # guards healthy parents: taken for the source's own pace, the wait made each look slow
    async def fills(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(200, "tell=pulled,rev=aa,since=1,fill=250.5", b"x")

    async with world(fills, settings=site.settings) as w, client(w) as c:
        await c.ask(route=site.read)
        assert (await c.reply()).kind == "served"
    assert [(e.note, e.fill_wait) for e in ends(told)] == [(api.Note.FILLED, 0.2505)]


@pytest.mark.parametrize("wait", ["-1", "nan", "inf", "soon", ""])
async def test_a_wait_that_is_none_ends_its_connection(wait: str, told: list[api.Event]) -> None:
    async def spoilt(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(200, f"tell=pulled,rev=aa,since=1,fill={wait}", b"x")

    async with world(spoilt, origin=spoilt, settings=second.settings) as w, client(w) as c:
        w.caches[1].script = spoilt
        await c.ask(route="asset", patience="500")
        assert (await c.reply()).kind != "served"
    assert {e.result for e in ends(told)} == {api.Result.RESET}


@both
async def test_the_size_of_a_part_reaches_the_module_where_it_is_told(
    site: Site, told: list[api.Event]
) -> None:
    async with world(serve, settings=site.settings) as w, client(w) as c:
        await c.ask(route=site.read, **site.fields)
        assert (await c.reply()).kind == "served"
        assert "size" not in w.caches[0].fetches[0].fields  # the caches know it
    sizes = [e.size_kb for e in told if isinstance(e, api.Request)]
    assert sizes == [float(site.fields.get("size", 0))]


@pytest.mark.parametrize("size", ["0", "-3", "nan", "inf", "1e12", "large", ""])
async def test_a_size_that_is_none_fails_its_request_only(size: str, told: list[api.Event]) -> None:
    # guards the mean sending times, on which the guards of links and cold members rest
    async with world(serve, settings=second.settings) as w, client(w) as c:
        await c.ask(route="asset", size=size)
        assert (await c.reply()).kind == "application"
        await c.ask(route="asset", size="12.5")
        assert (await c.reply()).kind == "served"
    assert [e.size_kb for e in told if isinstance(e, api.Request)] == [12.5]
