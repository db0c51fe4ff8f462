"""Admission to the DNS and metrics listeners."""

from __future__ import annotations

from collections import Counter

from tests.support.admission import FLOOD_HOST, KNOWN_HOST, become_known, source_admission
from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.model import RejectionReason
from zincladder.admission.response_rate_limiter import DatagramVerdict


def test_dns_connections_are_capped_by_address_and_closed_ones_are_released() -> None:
    admission = source_admission()
    assert [admission.open_connection(DescriptorUse.DNS, FLOOD_HOST, 0.0) for _ in range(9)][-2:] == [
        RejectionReason.NONE,
        RejectionReason.ADDRESS_CAP,
    ]
    assert admission.open_connection(DescriptorUse.DNS, KNOWN_HOST, 0.0) is RejectionReason.NONE
    for _ in range(8):
        admission.close_connection(DescriptorUse.DNS, FLOOD_HOST)
    assert (
        admission.descriptors.pools[DescriptorUse.DNS].used == 1
        and admission.open_connection(DescriptorUse.DNS, FLOOD_HOST, 1.0) is RejectionReason.NONE
    )


def test_one_in_three_datagrams_above_a_networks_rate_gets_a_truncated_answer() -> None:
    admission = source_admission()
    now = become_known(admission, KNOWN_HOST, 0.0)
    forged = Counter(admission.judge_datagram(f"192.0.2.{i % 200 + 2}", now + i * 1e-5) for i in range(4000))
    assert forged[DatagramVerdict.ANSWER] <= admission.limits.dns_burst + 10
    assert (
        0.3
        < forged[DatagramVerdict.TRUNCATED]
        / (forged[DatagramVerdict.TRUNCATED] + forged[DatagramVerdict.DROP])
        < 0.36
    )
    # Forged queries from its network do not use up the rate of a known address.
    assert all(admission.judge_datagram(KNOWN_HOST, now + 0.04) is DatagramVerdict.ANSWER for _ in range(100))
