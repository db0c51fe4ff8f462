"""Admission to the listeners that do not serve clients: DNS and metrics."""

from __future__ import annotations

from zincladder.admission.connection_rates import ConnectionRates
from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.model import AdmissionLimits, RejectionReason
from zincladder.admission.reputation import Reputation
from zincladder.admission.response_rate_limiter import DatagramVerdict, ResponseRateLimiter
from zincladder.admission.source_key import key_of
from zincladder.admission.state import KNOWN, NEW, AdmissionState


class OtherListeners:
    """Judges connections and datagrams by blocked networks and by the lanes and rates of their sources."""

    def __init__(
        self, state: AdmissionState, reputation: Reputation, rates: ConnectionRates, seed: int
    ) -> None:
        self._state, self._reputation, self._rates = state, reputation, rates
        self._responses = ResponseRateLimiter(state.limits.dns_rate, state.limits.dns_burst, seed)
        # Open connections by use and source key; the descriptor budget bounds its size.
        self._open_counts: dict[tuple[DescriptorUse, int], int] = {}

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Apply changed limits to datagrams from now on."""
        self._responses.set_rate(limits.dns_rate, limits.dns_burst)

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        """Decide whether a connection is admitted; NONE means that it is.

        An admitted connection has to be released by `close_connection`.
        """
        state, key = self._state, key_of(host)
        if state.lists.is_blocked(key, now):
            return RejectionReason.BLOCKED
        source = state.sources.find(key)
        lane = NEW if source is None else self._reputation.lane_of(source, now)
        open_count = self._open_counts.get((use, key), 0)
        if open_count >= state.limits.max_dns_per_address and lane >= NEW:
            return RejectionReason.ADDRESS_CAP
        if not self._rates.conforms(key, lane, state.lists.listed_networks.find(key), now):
            return RejectionReason.RATE_LIMIT
        if not state.descriptors.acquire(use):
            return RejectionReason.NO_CAPACITY
        self._open_counts[use, key] = open_count + 1
        return RejectionReason.NONE

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        """Release a connection that `open_connection` admitted."""
        key = key_of(host)
        open_count = self._open_counts.pop((use, key)) - 1
        if open_count:
            self._open_counts[use, key] = open_count
        self._state.descriptors.release(use)

    def judge_datagram(self, host: str, now: float) -> DatagramVerdict:
        """Decide how one more datagram from a host is answered."""
        state, key = self._state, key_of(host)
        if state.lists.is_blocked(key, now):
            return DatagramVerdict.DROP
        source = state.sources.find(key)
        is_known = source is not None and self._reputation.lane_of(source, now) <= KNOWN
        return self._responses.judge(key, is_known or state.lists.listed_networks.find(key) is not None, now)
