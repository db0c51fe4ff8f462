"""Weighted fair queueing of messages: a fair share of the loop's time for each lane, network and source.

Each lane earns its share of the loop's time as credit, and what a lane does not need becomes spare credit
that any lane may use, so that no time is left idle. A reader asks before it parses a message. While its lane
has credit it goes on at once; else its slot is queued, and `dispatch` serves the queues by deficit round
robin (Shreedhar and Varghese, SIGCOMM 1995): in the lanes of newcomers over networks and within a network
over sources, so that ten thousand addresses of one network are one flow beside another network's three.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from zincladder.admission.loop_costs import REQUEST_SECONDS
from zincladder.admission.model import ConnectionSlot, PriorityLane, Source

MAX_CREDIT_SECONDS = 0.03  # of loop time, times a lane's share
SPARE_GRANT_SECONDS = 0.006  # of spare credit to a lane with a queue, at each dispatch
QUANTUM_SECONDS = REQUEST_SECONDS  # that a flow may use in one turn
RATE_CUT_LAG_SECONDS = 0.025  # past which less is let in
MIN_RATE, MAX_RATE = 0.08, 0.9  # seconds of loop time a second
RATE_CUT = 0.96  # factor, at each dispatch while the loop lags
RATE_REGAIN = 0.004  # at each dispatch else; three times that while nothing is queued
MAX_DISPATCH_GAP_SECONDS = 0.1  # that is credited after a halt
MIN_LIMITED_SHARE = 0.01  # for sources under a penalty
MIN_CALIBRATION_SECONDS = 0.05  # with less to do, a measurement says nothing
CALIBRATION_WEIGHT = 0.2  # of one measurement
MIN_PACE, MAX_PACE = 0.25, 4.0  # measured over modelled cost


class _Flow:
    """The queued slots of one network or source, by source."""

    __slots__ = ("deficit", "sources")

    def __init__(self) -> None:
        self.sources: OrderedDict[Source, deque[ConnectionSlot]] = OrderedDict()
        self.deficit = 0.0  # seconds

    def next(self) -> ConnectionSlot:
        """Take the first slot of the source whose turn it is; that source goes behind the others."""
        source, slots = next(iter(self.sources.items()))
        slot = slots.popleft()
        if slots:
            self.sources.move_to_end(source)
        else:
            del self.sources[source]
        return slot


class _LaneQueue:
    """The credit of one lane and its flows in the order of their turns."""

    __slots__ = ("credit", "flows", "share", "waiting")

    def __init__(self, share: float) -> None:
        self.share = share
        self.credit = MAX_CREDIT_SECONDS * share  # seconds
        self.flows: OrderedDict[int, _Flow] = OrderedDict()
        self.waiting = 0  # slots


class WeightedFairQueue:
    """Loop time by lane, network and source."""

    def __init__(self, known_share: float, new_share: float) -> None:
        self.rate = MAX_RATE  # seconds of loop time a second that are let in
        self.pace = 1.0  # measured cost over the modelled one
        self._spare = MAX_CREDIT_SECONDS
        self._queues = tuple(_LaneQueue(0.0) for _ in range(3))
        known, new, limited = self._queues
        self._by_lane = (known, known, new, limited)  # listed sources count as known
        self.set_shares(known_share, new_share)
        for queue in self._queues:
            queue.credit = MAX_CREDIT_SECONDS * queue.share
        self._dispatched_at: float | None = None
        self._modelled_seconds = 0.0  # since the last calibration

    def set_shares(self, known: float, new: float) -> None:
        """Change the shares; what the two leave is for sources under a penalty."""
        shares = (known, new, max(MIN_LIMITED_SHARE, 1.0 - known - new))
        for queue, share in zip(self._queues, shares, strict=True):
            queue.share = share

    @property
    def waiting(self) -> int:
        """Slots that are queued."""
        return sum(queue.waiting for queue in self._queues)

    def try_take(self, lane: PriorityLane, cost: float = REQUEST_SECONDS) -> bool:
        """Whether one message may be read at once; if so, its cost is taken from the credit.

        Not while others of the lane are queued: these come first.
        """
        queue = self._by_lane[lane]
        cost *= self.pace
        if queue.waiting:
            return False
        if queue.credit > 0.0:
            queue.credit -= cost
        elif self._spare > 0.0:
            self._spare -= cost
        else:
            return False
        self._modelled_seconds += cost
        return True

    def charge(self, lane: PriorityLane, cost: float) -> None:
        """Charge a lane for what was not taken in advance; a negative cost gives back what was too much.

        Debts are bounded, so that the cost of one source is not owed by the others of its lane for long.
        """
        cost *= self.pace
        self._modelled_seconds += cost
        queue = self._by_lane[lane]
        queue.credit = max(-MAX_CREDIT_SECONDS, queue.credit - cost)

    def charge_shared(self, cost: float) -> None:
        """Charge the spare credit for connections, which cannot be asked for in advance.

        Charged to a lane, newcomers that behave would pay for those that are rejected beside them.
        """
        cost *= self.pace
        self._modelled_seconds += cost
        self._spare = max(-MAX_CREDIT_SECONDS, self._spare - cost)

    def enqueue(self, slot: ConnectionSlot) -> None:
        """Queue a slot that is not queued."""
        queue = self._by_lane[slot.lane]
        flow_key = self._flow_key(slot)
        flow = queue.flows.get(flow_key)
        if flow is None:
            flow = queue.flows[flow_key] = _Flow()
        flow.sources.setdefault(slot.source, deque()).append(slot)
        queue.waiting += 1

    def remove(self, slot: ConnectionSlot) -> None:
        """Take a slot out of its queue, if it is there."""
        queue = self._by_lane[slot.lane]
        flow_key = self._flow_key(slot)
        flow = queue.flows.get(flow_key)
        if flow is None or slot not in (slots := flow.sources.get(slot.source, deque())):
            return
        slots.remove(slot)
        queue.waiting -= 1
        if not slots:
            del flow.sources[slot.source]
            if not flow.sources:
                del queue.flows[flow_key]

    @staticmethod
    def _flow_key(slot: ConnectionSlot) -> int:
        return slot.source.key if slot.lane <= PriorityLane.KNOWN else slot.source.network_key

    def dispatch(self, now: float, loop_lag: float) -> list[ConnectionSlot]:
        """Credit the lanes with the time since the last call, and take the slots whose turn it is, in order.

        `loop_lag` is the seconds by which the event loop runs late.
        """
        if self._dispatched_at is None:
            self._dispatched_at = now
        elapsed = min(MAX_DISPATCH_GAP_SECONDS, max(0.0, now - self._dispatched_at))
        self._dispatched_at = now
        self._adapt_rate(loop_lag)
        dispatched: list[ConnectionSlot] = []
        for queue in self._queues:
            queue.credit += elapsed * self.rate * queue.share
            if not queue.waiting:
                self._move_excess_to_spare(queue)
            self._serve(queue, dispatched)
        for queue in self._queues:
            if queue.waiting and self._spare > 0.0:
                # In small parts: a message that comes next must not wait behind all that was saved up.
                grant = min(self._spare, SPARE_GRANT_SECONDS)
                queue.credit, self._spare = queue.credit + grant, self._spare - grant
                self._serve(queue, dispatched)
            self._move_excess_to_spare(queue)
        return dispatched

    def _adapt_rate(self, loop_lag: float) -> None:
        """Increase the rate additively, decrease it multiplicatively.

        How much of a core this process gets is not known; that the loop lags is seen.
        """
        waiting = any(queue.waiting for queue in self._queues)
        if loop_lag > RATE_CUT_LAG_SECONDS:
            self.rate = max(MIN_RATE, self.rate * RATE_CUT)
        elif self.rate < MAX_RATE:
            self.rate = min(MAX_RATE, self.rate + (RATE_REGAIN if waiting else 3 * RATE_REGAIN))

    def _move_excess_to_spare(self, queue: _LaneQueue) -> None:
        excess = queue.credit - MAX_CREDIT_SECONDS * queue.share
        if excess > 0.0:
            queue.credit -= excess
            self._spare = min(MAX_CREDIT_SECONDS, self._spare + excess)

    def _serve(self, queue: _LaneQueue, dispatched: list[ConnectionSlot]) -> None:
        """Take slots by deficit round robin while the lane has credit."""
        cost = REQUEST_SECONDS * self.pace
        while queue.waiting and queue.credit > 0.0:
            key, flow = next(iter(queue.flows.items()))
            flow.deficit += QUANTUM_SECONDS * self.pace
            while flow.sources and flow.deficit >= cost and queue.credit > 0.0:
                slot = flow.next()
                flow.deficit -= cost
                queue.credit -= cost
                queue.waiting -= 1
                self._modelled_seconds += cost
                dispatched.append(slot)
            if flow.sources:
                queue.flows.move_to_end(key)
            else:
                del queue.flows[key]

    def calibrate(self, cpu_seconds: float) -> None:
        """Fit the costs to the machine; `cpu_seconds` is the process's time since the last call.

        What has no modelled cost (timers, health checks, scrapes) counts as if requests had caused it, so a
        measurement with too little to do is left out.
        """
        modelled, self._modelled_seconds = self._modelled_seconds / self.pace, 0.0
        if modelled > MIN_CALIBRATION_SECONDS and cpu_seconds > MIN_CALIBRATION_SECONDS:
            measured_pace = min(MAX_PACE, max(MIN_PACE, cpu_seconds / modelled))
            self.pace += CALIBRATION_WEIGHT * (measured_pace - self.pace)
