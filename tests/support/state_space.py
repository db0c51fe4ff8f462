"""Explores all orders of events in a small model: successive leaders, processes with links, and registers.

The replica group is modelled as registers whose writes are applied one at a time or are lost with their
leader; other tests show that a real group behaves so. Links deliver messages in order and lose those in
transit when they break. From each state every possible event is tried, no state is visited twice, and the
invariants are checked in every state. The clock advances in steps of one second, without drift, so that
deadlines coincide.
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
    """How many events of each kind may still happen, and the last second of the clock."""

    changes: int = 1
    leader_changes: int = 0
    kills: int = 0
    link_breaks: int = 0
    until: int = 5
    unrelated_entries: int = 0  # log entries that do not change the registers of the model


@dataclass
class ProcessState:
    """A process. The number of its link is 0 without a link, and negative if it leads to a former leader."""

    participant: Any
    generation: int = 1
    link: int = 0
    to_leader: list[Any] = field(default_factory=list)
    from_leader: list[Any] = field(default_factory=list)


Event = Callable[[Any], None]


class StateSpace(ABC):
    """One state of the model; events change it in place."""

    def __init__(self, scope: Scope, processes: int) -> None:
        self.now, self.links, self.term = 0, 0, 0
        self.remaining = scope
        self.pending: list[Any] = []  # the leader's writes that are neither applied nor lost yet
        self.lost_links: list[int] = []  # broken links that the leader still considers open
        self.leader: Any = self.new_leader(-10.0)
        self.processes = [ProcessState(self.new_participant(0.0)) for _ in range(processes)]

    # Defined by each model ------------------------------------------------------------------------

    @abstractmethod
    def new_leader(self, since: float) -> Any:
        """Returns the state machine of a leader that has led since that time."""

    @abstractmethod
    def new_participant(self, now: float) -> Any:
        """Returns the state machine of a process that starts now."""

    @abstractmethod
    def read_registers(self) -> None:
        """Passes the contents of the registers to the leader."""

    @abstractmethod
    def apply_write(self, write: Any) -> None:
        """Applies a write if it expects the current version."""

    @abstractmethod
    def leader_actions(self) -> tuple[list[tuple[int, Any]], list[Any]]:
        """Removes and returns the leader's messages, each with the number of its link, and its writes."""

    @abstractmethod
    def carry_out(self, process: ProcessState) -> None:
        """Carries out the actions of a process."""

    @abstractmethod
    def check_invariants(self) -> None:
        """Raises InvariantError if this state violates an invariant."""

    @abstractmethod
    def key(self) -> Any:
        """Returns a value that is equal for equal states only."""

    def model_events(self) -> Iterator[Event]:
        """Yields the events that only this model has."""
        yield from ()

    # Clock, messages and limits -------------------------------------------------------------------

    def copy(self) -> Self:
        copied: Self = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        return copied

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

    def adjust_remaining(self, **changes: int) -> None:
        """Adds the changes, which are negative, to the numbers of events that may still happen."""
        spent = {name: getattr(self.remaining, name) + count for name, count in changes.items()}
        self.remaining = replace(self.remaining, **spent)

    # Events -----------------------------------------------------------------------------------------

    def advance_clock(self) -> None:
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

    def apply_pending_write(self, n: int) -> None:
        write = self.pending.pop(n)
        self.apply_write(write)
        self.read_registers()
        self.write_applied(write)
        self.advance_leader()

    def write_applied(self, write: Any) -> None:
        """Reports the applied write to the leader, in models whose leader needs it."""
        del write

    def unrelated_entry_applied(self) -> None:
        self.adjust_remaining(unrelated_entries=-1)
        self.read_registers()
        self.advance_leader()

    def open_link(self, n: int) -> None:
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

    def break_link(self, n: int) -> None:
        if self.processes[n].link > 0:
            self.adjust_remaining(link_breaks=-1)
        self._unlink(self.processes[n])
        self.processes[n].participant.link_changed(False, self.time)
        self.carry_out(self.processes[n])

    def kill(self, n: int) -> None:
        self.adjust_remaining(kills=-1)
        self._unlink(self.processes[n])
        self.processes[n] = ProcessState(self.new_participant(self.time), self.processes[n].generation + 1)

    def leader_notices_lost_link(self, number: int) -> None:
        self.lost_links.remove(number)
        self.leader.link_closed(number, self.time)
        self.advance_leader()

    def change_leader(self, surviving_writes: int) -> None:
        """Replaces the leader by one whose log has only the first `surviving_writes` pending writes."""
        self.adjust_remaining(leader_changes=-1)
        for write in self.pending[:surviving_writes]:
            self.apply_write(write)
        self.pending, self.lost_links = [], []
        self.term += 1
        self.leader = self.new_leader(self.time)
        for process in self.processes:  # messages from the former leader may still arrive
            process.to_leader.clear()
            process.link = -abs(process.link)
        self.read_registers()
        self.advance_leader()

    def events(self) -> Iterator[Event]:
        """Yields each event that can happen next."""
        if self.now < self.remaining.until:
            yield type(self).advance_clock
        if self.remaining.unrelated_entries:
            yield type(self).unrelated_entry_applied
        for n in range(len(self.pending)):
            yield partial(type(self).apply_pending_write, n=n)
        if self.remaining.leader_changes:
            for surviving in range(len(self.pending) + 1):
                yield partial(type(self).change_leader, surviving_writes=surviving)
        for number in self.lost_links:
            yield partial(type(self).leader_notices_lost_link, number=number)
        for n, process in enumerate(self.processes):
            if process.to_leader and process.link > 0:
                yield partial(type(self).deliver_to_leader, n=n)
            if process.from_leader:
                yield partial(type(self).deliver_to_process, n=n)
            if process.link < 0 or (process.link > 0 and self.remaining.link_breaks):
                yield partial(type(self).break_link, n=n)
            if process.link == 0:
                yield partial(type(self).open_link, n=n)
            if self.remaining.kills:
                yield partial(type(self).kill, n=n)
        yield from self.model_events()


def search(
    first: StateSpace, max_states: int = 10**9, matches: Callable[[Any], bool] = bool
) -> tuple[int, int]:
    """Visits all reachable states depth first, none of them twice, until at least `max_states` are found.

    Returns the number of states, and for how many of them, except the first, `matches` returns true. Raises
    InvariantError if a state violates an invariant.
    """
    first.check_invariants()
    seen, stack, count = {hash(first.key())}, [first], 0
    while stack and len(seen) < max_states:
        state = stack.pop()
        for event in state.events():
            following = state.copy()
            event(following)
            following.check_invariants()
            key = hash(following.key())
            if key not in seen:
                seen.add(key)
                stack.append(following)
                count += matches(following)
    return len(seen), count


def walk(first: StateSpace, seed: int, steps: int) -> None:
    """Runs one random sequence of at most `steps` events, and checks the invariants after each of them.

    With some seeds the clock's event is chosen less often, so that more other events happen in one second.
    """
    generator = random.Random(seed)
    skip_time = generator.choice((0.0, 0.5, 0.8, 0.95))
    for _ in range(steps):
        events = list(first.events())
        if len(events) > 1 and events[0] == type(first).advance_clock and generator.random() < skip_time:
            del events[0]
        if not events:
            break
        generator.choice(events)(first)
        first.check_invariants()
