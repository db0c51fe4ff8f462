"""All orders of events at small scope: one leader after the other, a few processes on links, one register
file.

What the group decides is kept here as registers whose writes land one at a time, or are lost with their
leader; that a group is as good as that is shown elsewhere. Links keep their order and lose all that is
under way when they break. From each state every event that is possible is tried, and no state twice; the
judge looks at every state. A step of the clock is a second, and there is no drift: each 'until' meets its
'until'.
"""

from __future__ import annotations

import pickle
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any, Self


@dataclass(frozen=True)
class Scope:
    """What may happen how often, and until when."""

    changes: int = 1
    leaders: int = 0  # further ones
    kills: int = 0
    breaks: int = 0
    until: int = 5
    noise: int = 0  # entries that concern nobody here, and are learned of all the same


@dataclass
class Place:
    """A process with its link, whose number is 0 for none and below 0 for one to a former leader."""

    mind: Any
    process: int = 1
    number: int = 0
    to: list[Any] = field(default_factory=list)
    back: list[Any] = field(default_factory=list)


Event = Callable[[Any], None]


class Small(ABC):
    """One state, changed by one event at a time."""

    def __init__(self, scope: Scope, places: int) -> None:
        self.now, self.links, self.term = 0, 0, 0
        self.left = scope
        self.pending: list[Any] = []  # writes of the leader's that have not landed
        self.lost: list[int] = []  # links that the leader has not yet heard to be gone
        self.part: Any = self.begin(-10.0)
        self.places = [Place(self.mind(0.0)) for _ in range(places)]

    # What each kind is ------------------------------------------------------------------------------

    @abstractmethod
    def begin(self, since: float) -> Any:
        """The deciding part of a leader."""

    @abstractmethod
    def mind(self, now: float) -> Any:
        """The deciding part of a process."""

    @abstractmethod
    def knows(self) -> None:
        """Tells the part what is decided."""

    @abstractmethod
    def land(self, write: Any) -> None:
        """A write is decided, if it is one from what stands."""

    @abstractmethod
    def wishes(self) -> tuple[list[tuple[int, Any]], list[Any]]:
        """What the leader's part wishes to say and to write."""

    @abstractmethod
    def settle(self, place: Place) -> None:
        """Carries out what a process's part wishes."""

    @abstractmethod
    def judge(self) -> None:
        """Broken where a rule is."""

    @abstractmethod
    def key(self) -> Any:
        """What tells this state from others."""

    def more(self) -> Iterator[Event]:
        """Events of the kind's own."""
        yield from ()

    # Hosts ------------------------------------------------------------------------------------------

    def copy(self) -> Self:
        found: Self = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        return found

    @property
    def time(self) -> float:
        return float(self.now)

    def conduct(self) -> None:
        self.part.tick(self.time)
        say, write = self.wishes()
        for number, message in say:
            for place in self.places:
                if place.number == number:
                    place.back.append(message)
        self.pending += write

    def spend(self, **changes: int) -> None:
        self.left = replace(self.left, **{k: getattr(self.left, k) + n for k, n in changes.items()})

    # Events -----------------------------------------------------------------------------------------

    def passes(self) -> None:
        self.now += 1
        for place in self.places:
            place.mind.tick(self.time)
            self.settle(place)
        self.conduct()

    def to_leader(self, n: int) -> None:
        place = self.places[n]
        self.part.heard(place.number, place.to.pop(0), self.time)
        self.conduct()

    def to_process(self, n: int) -> None:
        place = self.places[n]
        place.mind.heard(place.back.pop(0), self.time)
        self.settle(place)

    def lands(self, n: int) -> None:
        write = self.pending.pop(n)
        self.land(write)
        self.knows()
        self.landed(write)
        self.conduct()

    def landed(self, write: Any) -> None:
        """Tells the part that its write is decided, if it has to be told."""
        del write

    def noted(self) -> None:
        self.spend(noise=-1)
        self.knows()
        self.conduct()

    def link(self, n: int) -> None:
        place = self.places[n]
        self.links += 1
        place.number = self.links
        self.part.linked(place.number, f"f{n}", str(place.process), self.time)
        place.mind.link(True, self.time)
        place.mind.tick(self.time)
        self.settle(place)
        self.conduct()

    def _unlink(self, place: Place) -> None:
        if place.number > 0:
            self.lost.append(place.number)
        place.number = 0
        place.to.clear()
        place.back.clear()

    def breaks(self, n: int) -> None:
        if self.places[n].number > 0:
            self.spend(breaks=-1)
        self._unlink(self.places[n])
        self.places[n].mind.link(False, self.time)
        self.settle(self.places[n])

    def kill(self, n: int) -> None:
        self.spend(kills=-1)
        self._unlink(self.places[n])
        self.places[n] = Place(self.mind(self.time), self.places[n].process + 1)

    def hears_of(self, number: int) -> None:
        self.lost.remove(number)
        self.part.unlinked(number, self.time)
        self.conduct()

    def next_leader(self, landed: int) -> None:
        """So many of the writes under way are in the new leader's log; the others are nowhere."""
        self.spend(leaders=-1)
        for write in self.pending[:landed]:
            self.land(write)
        self.pending, self.lost = [], []
        self.term += 1
        self.part = self.begin(self.time)
        for place in self.places:  # what the old one said may come still; the link breaks some time later
            place.to.clear()
            place.number = -abs(place.number)
        self.knows()
        self.conduct()

    def events(self) -> Iterator[Event]:
        """Each thing that may happen next."""
        if self.now < self.left.until:
            yield type(self).passes
        if self.left.noise:
            yield type(self).noted
        for n in range(len(self.pending)):
            yield partial(type(self).lands, n=n)
        if self.left.leaders:
            for landed in range(len(self.pending) + 1):
                yield partial(type(self).next_leader, landed=landed)
        for number in self.lost:
            yield partial(type(self).hears_of, number=number)
        for n, place in enumerate(self.places):
            if place.to and place.number > 0:
                yield partial(type(self).to_leader, n=n)
            if place.back:
                yield partial(type(self).to_process, n=n)
            if place.number < 0 or (place.number > 0 and self.left.breaks):
                yield partial(type(self).breaks, n=n)
            if place.number == 0:
                yield partial(type(self).link, n=n)
            if self.left.kills:
                yield partial(type(self).kill, n=n)
        yield from self.more()


def search(first: Small, most: int = 10**9, good: Callable[[Any], bool] = bool) -> tuple[int, int]:
    """States looked at, and how many of them are `good`; Broken at a fault. `most` states end it early.

    Depth first, and no state is entered twice.
    """
    first.judge()
    seen, stack, count = {hash(first.key())}, [first], 0
    while stack and len(seen) < most:
        state = stack.pop()
        for event in state.events():
            following = state.copy()
            event(following)
            following.judge()
            key = hash(following.key())
            if key not in seen:
                seen.add(key)
                stack.append(following)
                count += good(following)
    return len(seen), count


def walk(first: Small, seed: int, steps: int) -> None:
    """One history by lot, at any scope; the judge looks after every event. Time passes slowly in some."""
    draw = random.Random(seed)
    slow = draw.choice((0.0, 0.5, 0.8, 0.95))
    for _ in range(steps):
        events = list(first.events())
        if len(events) > 1 and events[0] == type(first).passes and draw.random() < slow:
            del events[0]
        if not events:
            break
        draw.choice(events)(first)
        first.judge()
