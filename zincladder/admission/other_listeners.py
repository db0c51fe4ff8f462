"""Admission to the listeners beside the clients': DNS and metrics."""

from __future__ import annotations

from zincladder.admission.connection_rates import ConnectionRates
from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.model import AdmissionLimits, RejectionReason
from zincladder.admission.reputation import Reputation
from zincladder.admission.response_rate_limiter import DatagramVerdict, ResponseRateLimiter
from zincladder.admission.source_key import key_of
from zincladder.admission.state import KNOWN, NEW, AdmissionState


class OtherListeners:
    """Judges connections and datagrams by the blocks, rates and lanes of their sources."""

    def __init__(
        self, state: AdmissionState, reputation: Reputation, rates: ConnectionRates, seed: int
    ) -> None:
        self._state, self._reputation, self._rates = state, reputation, rates
        self._responses = ResponseRateLimiter(state.limits.dns_rate, state.limits.dns_burst, seed)
        # By use and key of the source; bounded by the descriptors.
        self._open: dict[tuple[DescriptorUse, int], int] = {}

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Change the rate of answers from now on."""
        self._responses.set_rate(limits.dns_rate, limits.dns_burst)

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        """Judge a connection: NONE if it is taken, to be given back by `close_connection`."""
        state, key = self._state, key_of(host)
        if state.lists.is_blocked(key, now):
            return RejectionReason.BLOCKED
        source = state.sources.find(key)
        lane = NEW if source is None else self._reputation.lane_of(source, now)
        open_here = self._open.get((use, key), 0)
        if open_here >= state.limits.max_dns_per_address and lane >= NEW:
            return RejectionReason.ADDRESS_CAP
        if not self._rates.conforms(key, lane, state.lists.listed.find(key), now):
            return RejectionReason.RATE_LIMIT
        if not state.descriptors.take(use):
            return RejectionReason.NO_CAPACITY
        self._open[use, key] = open_here + 1
        return RejectionReason.NONE

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        """Give back a connection."""
        key = key_of(host)
        open_here = self._open.pop((use, key)) - 1
        if open_here:
            self._open[use, key] = open_here
        self._state.descriptors.give(use)

    def judge_datagram(self, host: str, now: float) -> DatagramVerdict:
        """What the sender of one more datagram gets."""
        state, key = self._state, key_of(host)
        if state.lists.is_blocked(key, now):
            return DatagramVerdict.NOTHING
        source = state.sources.find(key)
        is_known = source is not None and self._reputation.lane_of(source, now) <= KNOWN
        return self._responses.judge(key, is_known or state.lists.listed.find(key) is not None, now)
