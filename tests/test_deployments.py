"""Both deployments at the wire: the same stories under the settings of each. A third site is a third row."""

from __future__ import annotations

import ast
import copy
import dataclasses
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import pytest

from benchmarks.difference import difference
from tests.support.front_configuration import SETTINGS, configuration
from tests.support.front_world import world
from tests.support.service_client import Client, client
from tests.support.stub_cache import ZONES, Fetch, StubCache, serve
from zincladder.config import Config, Operator, parse_config
from zincladder.core.attempt import AttemptRequest, ClientRequest
from zincladder.net import protocol
from zincladder.routing import interface as api
from zincladder.routing.router import Router
from zincladder.wiring.front import ListeningAddresses, run_front

pytestmark = pytest.mark.anyio
SECOND_REPORT = {"how": "inline", "names": ["busy", "rif", "x1", "x0"]}
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
    found["report"] = SECOND_REPORT
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
    assert [(e.fill_outcome, e.fill_wait) for e in ends(told)] == [(api.FillOutcome.FILLED, 0.2505)]


@pytest.mark.parametrize("wait", ["-1", "nan", "inf", "soon", ""])
async def test_a_wait_that_is_none_ends_its_connection(wait: str, told: list[api.Event]) -> None:
    async def spoilt(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(200, f"tell=pulled,rev=aa,since=1,fill={wait}", b"x")

    async with world(spoilt, origin=spoilt, settings=second.settings) as w, client(w) as c:
        w.caches[1].script = spoilt
        await c.ask(route="asset", patience="500")
        assert (await c.reply()).kind != "served"
    assert {e.outcome for e in ends(told)} == {api.AttemptOutcome.RESET}


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


# What each site's rules allow ----------------------------------------------------------------------


def allowing(site: Site, attempts: int) -> dict[str, Any]:
    return site.settings | {"ceilings": site.settings["ceilings"] | {"attemptsCap": attempts}}


@both
@pytest.mark.parametrize("attempts", [2, 6, 8])
@pytest.mark.parametrize("word", [404, 500, 503, 0])
async def test_one_attempt_at_a_time_and_no_more_than_the_settings_allow(
    site: Site, attempts: int, word: int
) -> None:
    # 0: its connection ends without an answer
    out, most, made = Counter[str](), Counter[str](), Counter[str]()

    async def fails(_: StubCache, fetch: Fetch) -> None:
        made[fetch.name] += 1
        out[fetch.name] += 1
        most[fetch.name] = max(most[fetch.name], out[fetch.name])
        await anyio.sleep(0.01)
        out[fetch.name] -= 1
        await (fetch.answer(word) if word else fetch.stream.aclose())

    async with world(fails, fails, origin=fails, settings=allowing(site, attempts)) as w, client(w) as c:
        w.caches[-2].script = fails
        for n in range(6):
            route = site.write if n == 5 else site.read
            await c.ask(entity=f"{n:016x}", patience="1500", **({"route": route} | site.fields))
        for _ in range(6):
            assert (await c.reply()).kind != "served"
    assert len(made) == 6 and set(most.values()) == {1}
    assert max(made.values()) <= attempts and max(made.values()) > 1


@both
@pytest.mark.parametrize("as_source", [False, True], ids=["asked", "source"])
async def test_from_the_moment_a_drain_is_told_nothing_goes_there(
    site: Site, as_source: bool, told: list[api.Event]
) -> None:
    async with world(serve, serve, settings=site.settings) as w, client(w) as c:
        drained = w.caches[-2 if as_source else 0]

        async def named(first: int) -> int:
            for n in range(first, first + 24):
                await c.ask(entity=f"{n:016x}", **({"route": site.read} | site.fields))
                assert (await c.reply()).kind == "served"
            all_of_them = [f for cache in w.caches for f in cache.fetches]
            return len(drained.fetches) + sum(f.fields.get("up") == drained.name for f in all_of_them)

        before = await named(0)
        assert before
        await w.coordinator.tell(2, drained.record(1))
        with anyio.fail_after(5):
            while sum(isinstance(e, api.EndpointUpdate) for e in told) < 2:
                await anyio.sleep(0.002)
        assert await named(100) == before


@both
async def test_a_refusal_names_a_time_within_what_the_settings_allow(site: Site) -> None:
    async def lacks(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(404)

    async with world(lacks, origin=lacks, settings=site.settings) as w, client(w) as c:
        await c.ask(b"order", **({"route": site.write} | site.fields))
        reply = await c.reply()
    assert reply.kind == "Throttled"
    assert 0 < int(reply.fields["pause"]) <= 1000 * site.settings["ceilings"]["maxRetryAfter"]


@both
async def test_objects_are_shared_out_by_weight_where_the_settings_say_that_it_is_listed(site: Site) -> None:
    heavy, light = StubCache("s-00000001", 0, weight=3), StubCache("s-00000002", 0)
    endpoints = [heavy, light, StubCache("s-000000a0", 1), StubCache("s-000000b0", 2)]
    async with world(endpoints=endpoints, settings=site.settings) as w, client(w) as c:
        for n in range(160):
            await c.ask(entity=f"{n * 7919:016x}", **({"route": site.read} | site.fields))
            assert (await c.reply()).kind == "served"
    share = len(heavy.fetches) / 160
    assert (0.65 < share < 0.85) if "weightSource" in site.settings else (0.35 < share < 0.65)


@both
async def test_an_objects_fills_meet_at_one_parent_whatever_the_location_and_its_hub(site: Site) -> None:
    homes = []
    for zone in range(2):  # with two hubs, each location is tied to another
        parents = [StubCache(f"s-{n + 160:08x}", 1, zone=ZONES[n % 2]) for n in range(3)]
        endpoints = [StubCache("s-00000001", 0, zone=ZONES[zone]), *parents, StubCache("s-000000b0", 2)]
        settings = site.settings | {"az": zone}
        settings["domain"] = settings["domain"] | {"seatsByZone": [1, 1]}
        async with world(endpoints=endpoints, settings=settings) as w, client(w) as c:
            for n in range(40):
                await c.ask(entity=f"{n:016x}", **({"route": site.read} | site.fields))
                assert (await c.reply()).kind == "served"
        homes.append({f.fields["item"]: f.fields["up"] for f in endpoints[0].fetches})
    assert homes[0] == homes[1] and len(set(homes[0].values())) == 3


# The protocol, field by field -----------------------------------------------------------------------

# As the operators' page lists them, with two values that mean different things.
CLIENT_FIELDS = {
    "route": ("video", "asset"),
    "trace": ("a" * 16, "b" * 16),
    "patience": ("400", "900"),
    "redo": ("1", None),
    "nonce": (KEY_32, "0" * 32),
    "entity": ("a" * 16, "b" * 16),
    "slice": ("1", "2"),
    "set": ("1", "2"),
    "size": ("12.5", "500"),
    "seen": ("aa", "bb"),
}
ANSWER_FIELDS = {
    "tell": ("local", "pulled"),
    "fill": ("10", "20"),
    "meter": ("util:0.5;inflight:1;x1:0.5;x0:0.5", "util:0.5;inflight:2;x1:0.5;x0:0.5"),
    "since": ("1", "2"),
    "rev": ("aa", "bb"),
}
FETCH_FIELDS = {"cls", "item", "chunk", "limit", "nonce", "up", "store", "cap", "do", "inm"}
NOTES = [
    "local",
    "pulled",
    "pulled_far",
    "rode",
    "expired",
    "turned_away",
    "cut_off",
    "not_there",
    "no_place",
    "far_fault",
]


async def seen_of(said: dict[str, str], told: list[api.Event]) -> list[Any]:
    """What caches and module see of one request, but for what time alone changes."""
    told.clear()
    async with world(serve, settings=second.settings) as w, client(w) as c:
        await c.ask(**said)
        assert (await c.reply()).kind == "served"
        (sent,) = [f for cache in w.caches for f in cache.fetches]
    (request,) = [e for e in told if isinstance(e, api.Request)]
    fields = sent.fields | {"limit": int(sent.fields["limit"]) // 300}
    return [sent.name, fields, request.object, request.group, request.part, request.request_class,
            request.size_kb, request.repeat]  # fmt: skip


@pytest.mark.parametrize("field", CLIENT_FIELDS)
async def test_each_field_of_a_client_changes_what_caches_or_module_see(
    field: str, told: list[api.Event]
) -> None:
    # 'nonce' and 'size' fell through for as long as no site sent them, and nothing noticed
    assert [row.name for row in protocol.REQUEST_FIELDS] == list(CLIENT_FIELDS)
    base = {name: values[0] for name, values in CLIENT_FIELDS.items()}
    one, two = CLIENT_FIELDS[field]
    other = {k: v for k, v in (base | {field: two or ""}).items() if v}
    assert await seen_of(base | {field: one or ""}, told) != await seen_of(other, told)


@both
@pytest.mark.parametrize("value", ["nan", "inf", "-inf", "-1", "1e999", "much", ""])
async def test_a_load_report_that_holds_no_load_tells_nothing_and_its_answer_stands(
    site: Site, value: str, told: list[api.Event]
) -> None:
    # guards what is judged by a mean over all caches: one NaN in it is a NaN for all
    async def ill(_: StubCache, fetch: Fetch) -> None:
        said = f"tell=local,rev=aa,since=1,meter=util:0.5;inflight:{value};x1:0.5;x0:0.5"
        await fetch.answer(200, said, b"x")

    async with world(ill, settings=site.settings | {"report": SECOND_REPORT}) as w, client(w) as c:
        await c.ask(route=site.read)
        assert (await c.reply()).kind == "served"
    assert [(e.outcome, e.report) for e in ends(told)] == [(api.AttemptOutcome.OK, ())]


@pytest.mark.parametrize("field", ANSWER_FIELDS)
async def test_each_field_of_an_answer_reaches_the_module_or_says_why_not(
    field: str, told: list[api.Event]
) -> None:
    rows = {row.name: row for row in protocol.RESPONSE_FIELDS}
    assert rows.keys() == ANSWER_FIELDS.keys()
    base = {name: values[0] for name, values in ANSWER_FIELDS.items()}
    found = []
    for value in ANSWER_FIELDS[field]:
        text = ",".join(f"{k}={v}" for k, v in (base | {field: value}).items())

        async def answers(_: StubCache, fetch: Fetch, text: str = text) -> None:
            await fetch.answer(200, text, b"x")

        told.clear()
        async with world(answers, settings=second.settings) as w, client(w) as c:
            await c.ask(route="asset")
            assert (await c.reply()).kind == "served"
        (end,) = ends(told)
        found.append((end.outcome, end.fill_outcome, end.fill_wait, end.report))
    assert (found[0] != found[1]) == (not rows[field].reason_unused)


def test_each_field_of_an_attempt_is_written_where_it_is_ordered() -> None:
    assert protocol.ATTEMPT_FIELDS.keys() == FETCH_FIELDS
    ask = ClientRequest("a" * 16, 0, 7, None, 3, 1.0)
    bare = protocol.write_fetch(AttemptRequest(ask, b"s-1"), "video", 0.5)
    assert bare == f"cls=video,item={7:016x},limit=500"
    ask = ClientRequest("a" * 16, 0, 7, 2, 3, 1.0, tag="aa", key=KEY_32)
    order = AttemptRequest(ask, b"s-1", b"s-2", 1, 1.5, True, True, True, True)
    assert protocol.write_fetch(order, "video", 0.5) == (
        f"cls=video,item={7:016x},chunk=2,limit=500,nonce={KEY_32},up=s-2,store=1,cap=1500,"
        "do=join+held+nocopy+renew,inm=aa"
    )


@pytest.mark.parametrize("fill_outcome", NOTES)
@pytest.mark.parametrize("word", [200, 404, 500, 503])
async def test_each_note_reaches_the_module_as_the_wire_numbers_it(
    fill_outcome: str, word: int, told: list[api.Event]
) -> None:
    async def answers(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(word, f"tell={fill_outcome},fill=1")

    async with world(answers, settings=second.settings) as w, client(w) as c:
        for endpoint in w.caches:
            endpoint.script = answers
        await c.ask(route="asset", patience="500")
        reply = await c.reply()
    assert (reply.kind == "served") == (word == 200)
    assert {e.fill_outcome for e in ends(told)} == {api.FillOutcome(NOTES.index(fill_outcome) + 1)}


# What the settings state ----------------------------------------------------------------------------

# Each key of the settings that no decision and no host reads, and why.
UNREAD = {
    "answer_slack": "every answer is owed by the client's own time, without the slack",
    "hedged_requests": "the module never has two attempts of a request out",
    "retry_after": "a refusal names a time to come back wherever the settings name the longest",
    "instance": "what a front spreads out comes from its seed",
    "hub_of_zone": "an object's fills meet at one parent from all hubs, as the design has it",
    "link_kb_per_s": "links are judged by the reports; neither site tells their size",
    "origin_overload_factor": "the origin's budget is far under it",
    "origin_overload_seconds": "the same",
    "subscribe_within": "a front on sockets is told without asking; the simulator's asks at once",
    "clients_mark_retries": "a client's repeat is decided as any other request",
    "priority_weight": "requests are refused by what they need, not by their worth",
    "late_weight": "the same",
    "stale_weight": "a stale copy is served only where the origin failed: then any worth is more than none",
    "streamed": "neither site has answers in streams, and WIRE tells of them by an event that is passed over",
    "partitioned": "parts are kept each by itself, so each has its home",
}


def test_every_key_of_the_settings_is_read_or_says_why_not() -> None:
    # the next site states what this one leaves out: a key that nobody reads must be a decision
    read: set[str] = set()
    for path in [*Path("zincladder").rglob("*.py")]:
        if path.parent.name == "config" or path.name == "interface.py":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Attribute):
                of = node.value
                owner = (
                    of.id if isinstance(of, ast.Name) else of.attr if isinstance(of, ast.Attribute) else ""
                )
                if owner in ("s", "settings", "request_class", "rules", "request"):
                    read.add(node.attr)
    keys = {f.name for kind in (api.Settings, api.RequestClass) for f in dataclasses.fields(kind)}
    assert keys - read == UNREAD.keys()


# The front on sockets beside its decisions by themselves --------------------------------------------


@both
def test_the_front_tells_and_does_what_its_decisions_do_by_themselves(site: Site) -> None:
    found = difference(site.settings, seed=1, steps=400)
    assert isinstance(found, int) and found > 400, found


def test_a_stall_of_the_process_has_no_part_in_the_comparison(monkeypatch: pytest.MonkeyPatch) -> None:
    # On a busy machine the process stood still for 0.116 s while an answer was under way. The core leaves its
    # own stalls out of an attempt's latency; the Router by itself has no process that could stall.
    monkeypatch.setattr("zincladder.core.loop_monitor.STALL_SECONDS", 0.0)  # each late tick counts as a stall
    found = difference(SITES["first"].settings, seed=1, steps=100)
    assert isinstance(found, int) and found > 100, found


@pytest.mark.parametrize("dropped", ["fill_wait", "size_kb", "fill_outcome", "repeat"])
def test_what_the_network_code_leaves_out_is_named(dropped: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # each on purpose once: the first two are what the second site lost most by
    if dropped in ("fill_wait", "fill_outcome"):
        rows = tuple(
            dataclasses.replace(r, attribute="") if r.attribute == dropped else r
            for r in protocol.RESPONSE_FIELDS
        )
        monkeypatch.setattr(protocol, "RESPONSE_FIELDS", rows)
    else:
        monkeypatch.setattr(
            protocol, "REQUEST_FIELDS", tuple(r for r in protocol.REQUEST_FIELDS if r.attribute != dropped)
        )
    found = difference(second.settings, seed=1, steps=400)
    assert isinstance(found, str) and dropped in found


# A keyed write --------------------------------------------------------------------------------------


class DescriptorBudget:
    """The core platform: runs a write, drops its repeats by their key for a while, loses first answers."""

    def __init__(self, window: float = 6.0, lost: int = 1) -> None:
        self.window, self.lost = window, lost
        self.ran: dict[str, float] = {}
        self.runs: list[str] = []
        self.came: list[str] = []

    async def serve(self, _: StubCache, fetch: Fetch) -> None:
        key, now = fetch.fields["nonce"], time.monotonic()
        self.came.append(key)
        if now - self.ran.get(key, -self.window) >= self.window:
            self.ran[key] = now
            self.runs.append(key)
        if len(self.came) <= self.lost:
            await anyio.sleep(0.1)
            return await fetch.stream.aclose()
        await fetch.answer(200, "tell=pulled_far,rev=aa,since=1", b"done")


@pytest.mark.parametrize(
    ("window", "kind", "came"), [(6.0, "served", 2), (0.05, "Throttled", 1)], ids=["within", "after"]
)
async def test_a_keyed_write_is_repeated_only_while_its_repeats_are_dropped(
    window: float, kind: str, came: int
) -> None:
    core = DescriptorBudget(window)
    settings = copy.deepcopy(second.settings)
    settings["categories"][2]["window"] = window
    async with world(serve, origin=core.serve, settings=settings) as w, client(w) as c:
        await c.ask(b"order", route="topup", nonce=KEY_32)
        assert (await c.reply()).kind == kind
    assert (len(core.came), core.runs) == (came, [KEY_32])


@pytest.mark.parametrize("killed", [True, False])
async def test_a_clients_repeat_at_another_front_runs_nothing_twice(killed: bool) -> None:
    # a front that is killed, or cut off from its client, has sent the write; it comes again with its key
    core, life = DescriptorBudget(lost=0), anyio.CancelScope()

    async def other(config: Config, *, task_status: anyio.abc.TaskStatus[ListeningAddresses]) -> None:
        with life:
            await run_front(config, Operator(), anyio.Event(), task_status=task_status)

    async with world(serve, origin=core.serve, settings=second.settings) as w, client(w) as c:
        data = configuration([m.endpoint() for m in w.caches], settings=second.settings)
        listening = await w.tasks.start(other, parse_config(data | {"name": "n1"}))
        async with await anyio.connect_tcp(*listening.clients) as stream:
            await Client(stream).ask(b"order", route="topup", nonce=KEY_32, trace="b" * 16)
            while not core.came:
                await w.caches[-1].came.wait()
            if killed:
                life.cancel()
        await c.ask(b"order", route="topup", nonce=KEY_32, redo="1")
        assert (await c.reply()).kind == "served"
    assert core.came == [KEY_32] * 2 and core.runs == [KEY_32]
