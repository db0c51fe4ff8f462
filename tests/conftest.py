"""Helpers of the tests: settings, lists and a driver that plays a fleet's answers by hand."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import pytest
import structlog

from zincladder import interface as api
from zincladder.decide import Router

CACHE, PARENT, ORIGIN = 0, 1, 2
SAFE = api.RequestClass(aim=0.5, deadline=5.0, aim_stretch=2.0, worth=2.0)
FRESH = api.RequestClass(aim=0.25, deadline=3.0, aim_stretch=2.0, fresh_for=20.0)
KEYED = api.RequestClass(aim=0.8, deadline=3.0, effect=api.Effect.KEYED, window=2.0, never_kept=True)
UNSAFE = api.RequestClass(aim=0.8, deadline=3.0, effect=api.Effect.UNSAFE, never_kept=True)
COLD = api.ColdRule(starts_at=0.25, warm_after=10.0, fall_multiple=2.0, fall_after=1.0)


def settings(**changes: Any) -> api.Settings:
    """A location with two routers out of four, all features allowed."""
    values: dict[str, Any] = {
        "classes": (SAFE, FRESH, KEYED, UNSAFE),
        "zone": 1,
        "routers_by_zone": (0, 2, 2),
        "routers": 4,
        "parent_kind": PARENT,
        "origin_kind": ORIGIN,
        "client_kb_per_s": 1000.0,
        "cold_cache": COLD,
        "cold_parent": COLD,
        "drain_grace": 0.5,
        "purge_grace": 0.5,
        "purge_done": 6.0,
        "max_attempts": 6,
        "may_cancel": True,
        "retry_after": True,
        "max_retry_after": 0.5,
        "bypass": True,
        "joins_fills": True,
        "peer_fill": api.PeerFill.LOCATION,
        "weights_listed": True,
    }
    return api.Settings(**{**values, **changes})


def cache(n: int, **changes: Any) -> api.Member:
    """Cache n of the location."""
    return api.Member(**{"id": b"cache%d" % n, "kind": CACHE, "zone": 1, "weight": 8.0, **changes})


def parent(n: int, **changes: Any) -> api.Member:
    """Parent n, at the hub."""
    return api.Member(**{"id": b"paren%d" % n, "kind": PARENT, "zone": 0, "weight": 40.0, **changes})


ORIGIN_MEMBER = api.Member(b"origin", ORIGIN, 0)
FLEET = (*(cache(n) for n in range(4)), *(parent(n) for n in range(3)), ORIGIN_MEMBER)


# As the daemon logs: a traceback drawn in colours takes half a second of the event loop.
structlog.configure(processors=[structlog.processors.format_exc_info, structlog.processors.LogfmtRenderer()])


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}  # as the daemon runs


class Driver:
    """A router, its clock and shorthand for the events."""

    def __init__(self, members: Iterable[api.Member] = FLEET, seed: int = 1, **changes: Any) -> None:
        self.router = Router(settings(**changes), seed)
        self.now = 100.0
        self.listed(*members)

    def give(self, event: api.Event) -> list[api.Action]:
        return self.router.handle(event, self.now)

    def listed(self, *members: api.Member, kind: api.ListKind = api.ListKind.FULL) -> list[api.Action]:
        return self.give(api.MemberList(kind, 1, tuple(members)))

    def change(self, *members: api.Member) -> list[api.Action]:
        return self.listed(*members, kind=api.ListKind.DELTA)

    def ask(
        self, request: int, key: int = 7, klass: int = 0, kb: float = 100.0, **more: Any
    ) -> list[api.Action]:
        due = more.pop("due", self.now + 3.0)
        group = more.pop("group", 3)
        return self.give(api.Request(request, key, group, more.pop("part", 0), klass, kb, due, **more))

    def end(
        self, request: int, attempt: int, member: bytes, result: api.Result, closed: bool = False, **more: Any
    ) -> list[api.Action]:
        return self.give(api.AttemptEnded(request, attempt, member, result, 0.1, closed, **more))

    def serve(self, request: int, key: int = 7, **more: Any) -> api.Get:
        """Asks and answers at once with a hit; gives the attempt that was made."""
        sent = get(self.ask(request, key, **more))
        self.end(request, 0, sent.member, api.Result.OK, True, note=api.Note.HIT)
        return sent


def get(actions: list[api.Action]) -> api.Get:
    """The one Get among the actions."""
    (found,) = [a for a in actions if isinstance(a, api.Get)]
    return found


def finals(actions: list[api.Action]) -> list[api.Action]:
    """The final answers among the actions."""
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]


def sends(actions: list[api.Action]) -> list[api.Get | api.Look]:
    """The attempts among the actions."""
    return [a for a in actions if isinstance(a, api.Get | api.Look)]
