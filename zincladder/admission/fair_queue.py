"""Weighted fair queueing of messages: a fair share of event loop time for each lane, network and source.

Each lane earns its share of the event loop's time as credit. Credit that a lane does not need becomes spare
credit, which any lane may use, so that no time is left idle. Before a message is read, its cost is taken from
the credit of its lane, or else from the spare credit. If neither is left, or slots of the lane are queued
already, the slot of the message's connection is queued. `dispatch` serves the queues by deficit round robin
(Shreedhar and Varghese, SIGCOMM 1995). In the NEW and LIMITED lanes each network is one flow, which is shared
evenly by its sources, so that ten thousand addresses of one network get no more than three addresses of
another. In the other lanes each source is a flow.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from zincladder.admission.loop_costs import REQUEST_SECONDS
from zincladder.admission.model import ConnectionSlot, PriorityLane, Source

MAX_CREDIT_SECONDS = 0.03  # maximum spare credit and debt; a lane's maximum credit is its share of this
SPARE_GRANT_SECONDS = 0.006  # spare credit granted per dispatch to a lane with a queue
QUANTUM_SECONDS = REQUEST_SECONDS  # loop time that a flow earns per round
RATE_DECREASE_LAG_SECONDS = 0.025  # above this delay of the event loop, the rate is decreased
MIN_RATE, MAX_RATE = 0.08, 0.9  # seconds of loop time per second
# While the event loop lags, each dispatch multiplies the rate by the factor. Otherwise each dispatch adds the
# increase, three times while nothing is queued.
RATE_DECREASE_FACTOR = 0.96
RATE_INCREASE = 0.004
MAX_CREDITED_INTERVAL_SECONDS = 0.1  # a longer time between dispatches, as after a pause, earns no more
MIN_LIMITED_SHARE = 0.01  # least share of loop time for the LIMITED lane
MIN_CALIBRATION_SECONDS = 0.05  # a measurement with less work than this is too inaccurate
CALIBRATION_WEIGHT = 0.2  # weight of a new measurement in the moving average
MIN_COST_SCALE, MAX_COST_SCALE = 0.25, 4.0  # ratio of measured to modelled cost


class _Flow:
    """The queued slots of one network or source, by source; the source that is served next comes first."""

    __slots__ = ("deficit", "sources")

    def __init__(self) -> None:
        self.sources: OrderedDict[Source, deque[ConnectionSlot]] = OrderedDict()
        self.deficit = 0.0  # seconds

    def pop_next(self) -> ConnectionSlot:
        """Remove and return the next slot; its source moves behind the other sources of the flow."""
        source, slots = next(iter(self.sources.items()))
        slot = slots.popleft()
        if slots:
            self.sources.move_to_end(source)
        else:
            del self.sources[source]
        return slot


class _LaneQueue:
    """The credit of one lane and its flows, in the order in which they are served."""

    __slots__ = ("credit", "flows", "queued_slots", "share")

    def __init__(self, share: float) -> None:
        self.share = share
        self.credit = MAX_CREDIT_SECONDS * share  # seconds
        self.flows: OrderedDict[int, _Flow] = OrderedDict()
        self.queued_slots = 0


class WeightedFairQueue:
    """Divides event loop time among lanes, networks and sources."""

    def __init__(self, known_share: float, new_share: float) -> None:
        self.rate = MAX_RATE  # seconds of loop time that are credited per second
        self.cost_scale = 1.0  # ratio of measured to modelled cost
        self._spare = MAX_CREDIT_SECONDS
        self._queues = tuple(_LaneQueue(0.0) for _ in range(3))
        known, new, limited = self._queues
        self._by_lane = (known, known, new, limited)  # listed sources share the queue of known sources
        self.set_shares(known_share, new_share)
        for queue in self._queues:
            queue.credit = MAX_CREDIT_SECONDS * queue.share
        self._dispatched_at: float | None = None
        self._modelled_seconds = 0.0  # since the last calibration

    def set_shares(self, known: float, new: float) -> None:
        """Change the shares of loop time; sources under a penalty get the remainder."""
        shares = (known, new, max(MIN_LIMITED_SHARE, 1.0 - known - new))
        for queue, share in zip(self._queues, shares, strict=True):
            queue.share = share

    @property
    def waiting(self) -> int:
        """The number of queued slots."""
        return sum(queue.queued_slots for queue in self._queues)

    def try_take(self, lane: PriorityLane, cost: float = REQUEST_SECONDS) -> bool:
        """Return whether one message may be read at once, and take its cost from the credit if so.

        Returns False while other slots of the lane are queued, because they come first.
        """
        queue = self._by_lane[lane]
        cost *= self.cost_scale
        if queue.queued_slots:
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
        """Charge a lane a cost that `try_take` has not taken; a negative cost refunds an excess.

        The debt of a lane is bounded, so that the cost of one source does not burden the others for long.
        """
        cost *= self.cost_scale
        self._modelled_seconds += cost
        queue = self._by_lane[lane]
        queue.credit = max(-MAX_CREDIT_SECONDS, queue.credit - cost)

    def charge_shared(self, cost: float) -> None:
        """Charge the spare credit for connections, whose cost cannot be requested in advance.

        If their lane were charged, well-behaved new sources would pay for connections that are rejected.
        """
        cost *= self.cost_scale
        self._modelled_seconds += cost
        self._spare = max(-MAX_CREDIT_SECONDS, self._spare - cost)

    def enqueue(self, slot: ConnectionSlot) -> None:
        """Queue a slot that is not queued yet."""
        queue = self._by_lane[slot.lane]
        flow_key = self._flow_key(slot)
        flow = queue.flows.get(flow_key)
        if flow is None:
            flow = queue.flows[flow_key] = _Flow()
        flow.sources.setdefault(slot.source, deque()).append(slot)
        queue.queued_slots += 1

    def remove(self, slot: ConnectionSlot) -> None:
        """Remove a slot from its queue if it is queued."""
        queue = self._by_lane[slot.lane]
        flow_key = self._flow_key(slot)
        flow = queue.flows.get(flow_key)
        if flow is None or slot not in (slots := flow.sources.get(slot.source, deque())):
            return
        slots.remove(slot)
        queue.queued_slots -= 1
        if not slots:
            del flow.sources[slot.source]
            if not flow.sources:
                del queue.flows[flow_key]

    @staticmethod
    def _flow_key(slot: ConnectionSlot) -> int:
        return slot.source.key if slot.lane <= PriorityLane.KNOWN else slot.source.network_key

    def dispatch(self, now: float, loop_lag: float) -> list[ConnectionSlot]:
        """Credit the lanes with the time since the last call; return the slots to read from now, in order.

        `loop_lag` is the delay of the event loop in seconds.
        """
        if self._dispatched_at is None:
            self._dispatched_at = now
        elapsed = min(MAX_CREDITED_INTERVAL_SECONDS, max(0.0, now - self._dispatched_at))
        self._dispatched_at = now
        self._adapt_rate(loop_lag)
        dispatched: list[ConnectionSlot] = []
        for queue in self._queues:
            queue.credit += elapsed * self.rate * queue.share
            if not queue.queued_slots:
                self._move_excess_to_spare(queue)
            self._dispatch_lane(queue, dispatched)
        for queue in self._queues:
            if queue.queued_slots and self._spare > 0.0:
                # Spare credit is granted in small amounts: if all of it were used at once, the messages that
                # arrive next would have to wait.
                grant = min(self._spare, SPARE_GRANT_SECONDS)
                queue.credit, self._spare = queue.credit + grant, self._spare - grant
                self._dispatch_lane(queue, dispatched)
            self._move_excess_to_spare(queue)
        return dispatched

    def _adapt_rate(self, loop_lag: float) -> None:
        """Adapt the rate to the delay of the event loop: increase additively, decrease multiplicatively.

        The delay can be measured; the part of a CPU core that the process gets cannot.
        """
        waiting = any(queue.queued_slots for queue in self._queues)
        if loop_lag > RATE_DECREASE_LAG_SECONDS:
            self.rate = max(MIN_RATE, self.rate * RATE_DECREASE_FACTOR)
        elif self.rate < MAX_RATE:
            self.rate = min(MAX_RATE, self.rate + (RATE_INCREASE if waiting else 3 * RATE_INCREASE))

    def _move_excess_to_spare(self, queue: _LaneQueue) -> None:
        excess = queue.credit - MAX_CREDIT_SECONDS * queue.share
        if excess > 0.0:
            queue.credit -= excess
            self._spare = min(MAX_CREDIT_SECONDS, self._spare + excess)

    def _dispatch_lane(self, queue: _LaneQueue, dispatched: list[ConnectionSlot]) -> None:
        """Dequeue slots by deficit round robin while the lane has credit, and append them to `dispatched`."""
        cost = REQUEST_SECONDS * self.cost_scale
        while queue.queued_slots and queue.credit > 0.0:
            key, flow = next(iter(queue.flows.items()))
            flow.deficit += QUANTUM_SECONDS * self.cost_scale
            while flow.sources and flow.deficit >= cost and queue.credit > 0.0:
                slot = flow.pop_next()
                flow.deficit -= cost
                queue.credit -= cost
                queue.queued_slots -= 1
                self._modelled_seconds += cost
                dispatched.append(slot)
            if flow.sources:
                queue.flows.move_to_end(key)
            else:
                del queue.flows[key]

    def calibrate(self, cpu_seconds: float) -> None:
        """Scale the costs to the machine; `cpu_seconds` is the process's CPU time since the last call.

        Work without a modelled cost (timers, health checks, scrapes) is attributed to requests, so a
        measurement with too little work is ignored.
        """
        modelled, self._modelled_seconds = self._modelled_seconds / self.cost_scale, 0.0
        if modelled > MIN_CALIBRATION_SECONDS and cpu_seconds > MIN_CALIBRATION_SECONDS:
            measured_scale = min(MAX_COST_SCALE, max(MIN_COST_SCALE, cpu_seconds / modelled))
            self.cost_scale += CALIBRATION_WEIGHT * (measured_scale - self.cost_scale)
