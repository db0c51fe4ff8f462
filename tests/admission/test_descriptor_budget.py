"""The budget of file descriptors."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from zincladder.admission.descriptor_budget import ELASTIC_POOLS, DescriptorBudget, DescriptorUse


@given(
    total=st.integers(8, 2000),
    steps=st.lists(st.tuples(st.sampled_from(list(DescriptorUse)), st.booleans()), max_size=400),
    later=st.integers(8, 2000),
)
@hypothesis_settings(max_examples=80, deadline=None)
def test_descriptors_in_use_never_exceed_the_limit_and_every_guarantee_is_kept(
    total: int, steps: list[tuple[DescriptorUse, bool]], later: int
) -> None:
    descriptors = DescriptorBudget(total, ELASTIC_POOLS)
    for use, take in steps:
        if take:
            descriptors.acquire(use)
        elif descriptors.pools[use].used:
            descriptors.release(use)
        assert descriptors.used <= max(total, 24)
        for other, pool in descriptors.pools.items():  # each guarantee holds, whatever the other uses take
            assert pool.used >= pool.guaranteed or descriptors.available(other) > 0
    descriptors.resize(later)
    assert descriptors.excess == max(0, descriptors.used - later)
