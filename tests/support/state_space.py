"""All orders of events at small scope: one leader after the other, a few processes on links, one register.

What the group decides is held here as registers whose writes succeed one at a time, or are lost with their
leader; that a group is as good as that is shown elsewhere. Links keep their order and lose all that is
under way when they break. From each state every event that is possible is tried, and no state twice; the
judge looks at every state. A step of the clock is a second, and there is no drift, so that deadlines
coincide.
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
    noise: int = 0  # entries of the log that concern nobody here


@dataclass
class ProcessState:
    """A process with its link, whose number is 0 for none and below 0 for one to a former leader."""

    participant: Any
    generation: int = 1
    link: int = 0
    to_leader: list[Any] = field(default_factory=list)
    from_leader: list[Any] = field(default_factory=list)


Event = Callable[[Any], None]


class StateSpace(ABC):
    """One state, changed by one event at a time."""

    def __init__(self, scope: Scope, processes: int) -> None:
        self.now, self.links, self.term = 0, 0, 0
        self.remaining = scope
        self.pending: list[Any] = []  # the leader's writes that have neither succeeded nor failed
        self.lost_links: list[int] = []  # links that the leader has not yet noticed to be gone
        self.leader: Any = self.new_leader(-10.0)
        self.processes = [ProcessState(self.new_participant(0.0)) for _ in range(processes)]

    # Of each space ------------------------------------------------------------------------------

    @abstractmethod
    def new_leader(self, since: float) -> Any:
        """The deciding part of a leader."""

    @abstractmethod
    def new_participant(self, now: float) -> Any:
        """The deciding part of a process."""

    @abstractmethod
    def read_registers(self) -> None:
        """Tells the leader what the registers hold."""

    @abstractmethod
    def apply_write(self, write: Any) -> None:
        """Applies a write, if it names the version that stands."""

    @abstractmethod
    def leader_actions(self) -> tuple[list[tuple[int, Any]], list[Any]]:
        """The messages and writes that the leader has decided on."""

    @abstractmethod
    def carry_out(self, process: ProcessState) -> None:
        """Carries out what a process has decided."""

    @abstractmethod
    def judge(self) -> None:
        """Raises Broken where a rule is."""

    @abstractmethod
    def key(self) -> Any:
        """What tells this state from others."""

    def own_events(self) -> Iterator[Event]:
        """Further events of this space."""
        yield from ()

    # Hosts ------------------------------------------------------------------------------------------

    def copy(self) -> Self:
        found: Self = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        return found

    @property
    def time(self) -> float:
        return float(self.now)

    def advance_leader(self) -> None:
        self.leader.tick(self.time)
        messages, writes = self.leader_actions()
        for link, message in messages:
            for process in self.processes:
                if process.link == link:
                    process.from_leader.append(message)
        self.pending += writes

    def spend(self, **changes: int) -> None:
        spent = {name: getattr(self.remaining, name) + count for name, count in changes.items()}
        self.remaining = replace(self.remaining, **spent)

    # Events -----------------------------------------------------------------------------------------

    def second_passes(self) -> None:
        self.now += 1
        for process in self.processes:
            process.participant.tick(self.time)
            self.carry_out(process)
        self.advance_leader()

    def deliver_to_leader(self, n: int) -> None:
        process = self.processes[n]
        self.leader.message_received(process.link, process.to_leader.pop(0), self.time)
        self.advance_leader()

    def deliver_to_process(self, n: int) -> None:
        process = self.processes[n]
        process.participant.message_received(process.from_leader.pop(0), self.time)
        self.carry_out(process)

    def write_lands(self, n: int) -> None:
        write = self.pending.pop(n)
        self.apply_write(write)
        self.read_registers()
        self.write_applied(write)
        self.advance_leader()

    def write_applied(self, write: Any) -> None:
        """Tells the leader that its write has been applied, where it has to know."""
        del write

    def unrelated_entry_applied(self) -> None:
        self.spend(noise=-1)
        self.read_registers()
        self.advance_leader()

    def link(self, n: int) -> None:
        process = self.processes[n]
        self.links += 1
        process.link = self.links
        self.leader.link_opened(process.link, f"f{n}", str(process.generation), self.time)
        process.participant.link_changed(True, self.time)
        process.participant.tick(self.time)
        self.carry_out(process)
        self.advance_leader()

    def _unlink(self, process: ProcessState) -> None:
        if process.link > 0:
            self.lost_links.append(process.link)
        process.link = 0
        process.to_leader.clear()
        process.from_leader.clear()

    def breaks(self, n: int) -> None:
        if self.processes[n].link > 0:
            self.spend(breaks=-1)
        self._unlink(self.processes[n])
        self.processes[n].participant.link_changed(False, self.time)
        self.carry_out(self.processes[n])

    def kill(self, n: int) -> None:
        self.spend(kills=-1)
        self._unlink(self.processes[n])
        self.processes[n] = ProcessState(self.new_participant(self.time), self.processes[n].generation + 1)

    def leader_notices_lost_link(self, number: int) -> None:
        self.lost_links.remove(number)
        self.leader.link_closed(number, self.time)
        self.advance_leader()

    def next_leader(self, surviving_writes: int) -> None:
        """So many of the writes under way are in the new leader's log; the others are nowhere."""
        self.spend(leaders=-1)
        for write in self.pending[:surviving_writes]:
            self.apply_write(write)
        self.pending, self.lost_links = [], []
        self.term += 1
        self.leader = self.new_leader(self.time)
        for process in self.processes:  # messages of the old one may come still
            process.to_leader.clear()
            process.link = -abs(process.link)
        self.read_registers()
        self.advance_leader()

    def events(self) -> Iterator[Event]:
        """Each thing that may happen next."""
        if self.now < self.remaining.until:
            yield type(self).second_passes
        if self.remaining.noise:
            yield type(self).unrelated_entry_applied
        for n in range(len(self.pending)):
            yield partial(type(self).write_lands, n=n)
        if self.remaining.leaders:
            for surviving in range(len(self.pending) + 1):
                yield partial(type(self).next_leader, surviving_writes=surviving)
        for number in self.lost_links:
            yield partial(type(self).leader_notices_lost_link, number=number)
        for n, process in enumerate(self.processes):
            if process.to_leader and process.link > 0:
                yield partial(type(self).deliver_to_leader, n=n)
            if process.from_leader:
                yield partial(type(self).deliver_to_process, n=n)
            if process.link < 0 or (process.link > 0 and self.remaining.breaks):
                yield partial(type(self).breaks, n=n)
            if process.link == 0:
                yield partial(type(self).link, n=n)
            if self.remaining.kills:
                yield partial(type(self).kill, n=n)
        yield from self.own_events()


def search(first: StateSpace, max_states: int = 10**9, good: Callable[[Any], bool] = bool) -> tuple[int, int]:
    """States looked at, and how many of them are `good`; Broken at a fault. It ends at `max_states`.

    Depth first, and no state is entered twice.
    """
    first.judge()
    seen, stack, count = {hash(first.key())}, [first], 0
    while stack and len(seen) < max_states:
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


def walk(first: StateSpace, seed: int, steps: int) -> None:
    """One random history, at any scope; the judge looks after every event. Time passes slowly in some."""
    generator = random.Random(seed)
    skip_time = generator.choice((0.0, 0.5, 0.8, 0.95))
    for _ in range(steps):
        events = list(first.events())
        if len(events) > 1 and events[0] == type(first).second_passes and generator.random() < skip_time:
            del events[0]
        if not events:
            break
        generator.choice(events)(first)
        first.judge()
