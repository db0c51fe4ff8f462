"""Whose message is read next: a fair share of the loop's time for each lane, network and source.

Loop time is money in accounts. Each lane earns its share of it, and what a lane doesn't need falls to a
common account that any lane may draw on, so that nothing lies idle. A reader asks before it parses a
message. While its lane has money it goes on at once; else it waits, unread, and `pour` lets waiters go by
deficit round robin (Shreedhar and Varghese, SIGCOMM 1995): in the lanes of newcomers over networks and
within a network over sources, so that ten thousand addresses of one network are one flow beside another
network's three.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from zincladder.admission.model import ConnectionSlot, PriorityLane, Source

# What things cost in loop seconds, as measured by benchmarks/admission.py; `pace` fits them to the machine.
MESSAGE = 150e-6  # read and parse one, and turn it down
REQUEST = 900e-6  # all that a request costs until it is answered, its message included
PER_BYTE = 1.2e-9
CONNECTION = 450e-6
TURNED = 30e-6
BURST = 0.03  # seconds of loop time that an account holds at most, times its share
GIVEN = 0.006  # of the common account to a lane that waits, at each look
QUANTUM = REQUEST
LATE = 0.025  # seconds by which the loop may be late before less is let in
LEAST_RATE, MOST_RATE = 0.08, 0.9  # loop seconds a second
CUT, REGAIN = 0.96, 0.004  # of the rate, at each look


class _Flow:
    """The waiting seats of one network or source, source by source."""

    __slots__ = ("deficit", "sources")

    def __init__(self) -> None:
        self.sources: OrderedDict[Source, deque[ConnectionSlot]] = OrderedDict()
        self.deficit = 0.0

    def next(self) -> ConnectionSlot:
        """Takes the first waiting seat of the source whose turn it is, which then goes behind the others."""
        source, seats = next(iter(self.sources.items()))
        seat = seats.popleft()
        if seats:
            self.sources.move_to_end(source)
        else:
            del self.sources[source]
        return seat


class _Queue:
    """One lane: its account and its flows in the order of their turns."""

    __slots__ = ("credit", "flows", "share", "waiting")

    def __init__(self, share: float) -> None:
        self.share = share
        self.credit = BURST * share
        self.flows: OrderedDict[int, _Flow] = OrderedDict()
        self.waiting = 0


class WeightedFairQueue:
    """Loop time by lane, network and source."""

    def __init__(self, known: float, new: float) -> None:
        self.rate = MOST_RATE
        self.pace = 1.0  # measured loop time over what the table above says
        self._spare = BURST
        self._each = tuple(_Queue(0.0) for _ in range(3))
        known_queue, new_queue, limited_queue = self._each
        self._queues = (
            known_queue,
            known_queue,
            new_queue,
            limited_queue,
        )  # by lane; the listed count as known
        self.set_shares(known, new)
        for queue in self._each:
            queue.credit = BURST * queue.share
        self._poured_at: float | None = None
        self._modelled = 0.0

    def set_shares(self, known: float, new: float) -> None:
        """Other shares from now on; what the two leave is for sources under a penalty."""
        for queue, share in zip(self._each, (known, new, max(0.01, 1.0 - known - new)), strict=True):
            queue.share = share

    @property
    def waiting(self) -> int:
        return sum(queue.waiting for queue in self._each)

    def waiting_in(self, lane: PriorityLane) -> int:
        return self._queues[lane].waiting

    def try_take(self, lane: PriorityLane, cost: float = REQUEST) -> bool:
        """May one message be read now? If so it is paid for."""
        queue = self._queues[lane]
        cost *= self.pace
        if queue.waiting:
            return False  # those before it first
        if queue.credit > 0.0:
            queue.credit -= cost
        elif self._spare > 0.0:
            self._spare -= cost
        else:
            return False
        self._modelled += cost
        return True

    def charge(self, lane: PriorityLane, cost: float) -> None:
        """What a source cost beside its paid messages; negative gives back what was paid too much.

        Debts are bounded, so that what one source of a lane cost is not owed by the others for long.
        """
        cost *= self.pace
        self._modelled += cost
        queue = self._queues[lane]
        queue.credit = max(-BURST, queue.credit - cost)

    def charge_shared(self, cost: float) -> None:
        """What connections cost, which nobody asks for beforehand: it comes out of what all share.

        Not of a lane: newcomers who behave would pay for those that are turned away beside them.
        """
        cost *= self.pace
        self._modelled += cost
        self._spare = max(-BURST, self._spare - cost)

    def enqueue(self, seat: ConnectionSlot) -> None:
        """Puts a seat in line, once."""
        queue = self._queues[seat.lane]
        flow_key = self._flow_of(seat)
        flow = queue.flows.get(flow_key)
        if flow is None:
            flow = queue.flows[flow_key] = _Flow()
        flow.sources.setdefault(seat.source, deque()).append(seat)
        queue.waiting += 1

    def remove(self, seat: ConnectionSlot) -> None:
        """A waiting seat that has ended."""
        queue = self._queues[seat.lane]
        flow_key = self._flow_of(seat)
        flow = queue.flows.get(flow_key)
        if flow is None or seat not in (seats := flow.sources.get(seat.source, deque())):
            return
        seats.remove(seat)
        queue.waiting -= 1
        if not seats:
            del flow.sources[seat.source]
            if not flow.sources:
                del queue.flows[flow_key]

    @staticmethod
    def _flow_of(seat: ConnectionSlot) -> int:
        return seat.source.key if seat.lane <= PriorityLane.KNOWN else seat.source.net

    def dispatch(self, now: float, behind: float) -> list[ConnectionSlot]:
        """Pays the accounts what time has brought and names the seats whose turn it is, in order."""
        if self._poured_at is None:
            self._poured_at = now
        since = min(0.1, max(0.0, now - self._poured_at))
        self._poured_at = now
        waiting = any(queue.waiting for queue in self._each)
        # Additive increase, multiplicative decrease: what the machine gives is not known, lateness is seen.
        if behind > LATE:
            self.rate = max(LEAST_RATE, self.rate * CUT)
        elif self.rate < MOST_RATE:
            self.rate = min(MOST_RATE, self.rate + (REGAIN if waiting else 3 * REGAIN))
        let: list[ConnectionSlot] = []
        for queue in self._each:
            queue.credit += since * self.rate * queue.share
            over = queue.credit - BURST * queue.share
            if over > 0.0 and not queue.waiting:
                queue.credit -= over
                self._spare = min(BURST, self._spare + over)
            self._serve(queue, let)
        for queue in self._each:
            if queue.waiting and self._spare > 0.0:
                # A little at a time: whoever comes next must not wait behind all that was saved up.
                given = min(self._spare, GIVEN)
                queue.credit, self._spare = queue.credit + given, self._spare - given
                self._serve(queue, let)
            over = queue.credit - BURST * queue.share
            if over > 0.0:
                queue.credit -= over
                self._spare = min(BURST, self._spare + over)
        return let

    def _serve(self, queue: _Queue, let: list[ConnectionSlot]) -> None:
        cost = REQUEST * self.pace
        while queue.waiting and queue.credit > 0.0:
            key, flow = next(iter(queue.flows.items()))
            flow.deficit += QUANTUM * self.pace
            while flow.sources and flow.deficit >= cost and queue.credit > 0.0:
                seat = flow.next()
                flow.deficit -= cost
                queue.credit -= cost
                queue.waiting -= 1
                self._modelled += cost
                let.append(seat)
            if flow.sources:
                queue.flows.move_to_end(key)
            else:
                del queue.flows[key]

    def calibrate(self, cpu: float) -> None:
        """Fits the table of costs to the machine: `cpu` is the process's time since the last call.

        What costs nothing by the table (timers, probes, scrapes) counts as if requests had caused it, so a
        time with too little to do says nothing.
        """
        modelled, self._modelled = self._modelled / self.pace, 0.0
        if modelled > 0.05 and cpu > 0.05:
            self.pace += 0.2 * (min(4.0, max(0.25, cpu / modelled)) - self.pace)
