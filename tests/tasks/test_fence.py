"""Tests the checks of fencing tokens: at a receiver, in the replicas' log, and for writes of clients."""

from __future__ import annotations

import msgspec

from zincladder.consensus.key_value_state import (
    CompareAndSwap,
    FencingTokenRejected,
    KeyValueState,
    Swapped,
    VersionMismatch,
)
from zincladder.tasks.fence import MAX_TASKS, Fence
from zincladder.tasks.host import rejection_reason
from zincladder.tasks.model import TaskAssignment, task_key, write_checkpoint


def test_a_fence_rejects_outdated_tokens_of_each_task_separately() -> None:
    fence = Fence({"a": 5})
    assert fence.admit("a", 4) == "task 'a': token 4 is older than 5, which was admitted here"
    assert (fence.admit("a", 5), fence.admit("a", 9), fence.admit("b", 1)) == ("", "", "")
    assert fence.admit("a", 8) and fence.admit("b", 0) and fence.rejected == 3
    assert Fence(fence.highest).admit("a", 8)  # as after a restart with the stored tokens
    for n in range(2 * MAX_TASKS):
        fence.admit(f"x{n}", 1)
    assert len(fence.highest) == MAX_TASKS and not fence.admit("a", 10)


def test_a_checkpoint_is_stored_only_if_its_token_is_valid_when_the_write_is_applied() -> None:
    state = KeyValueState()

    def apply_write(index: int, swap: CompareAndSwap) -> object:
        return state.apply(index, msgspec.msgpack.encode(swap))

    apply_write(3, CompareAndSwap(task_key("a"), 0, msgspec.msgpack.encode(TaskAssignment("x", "p"))))
    assert apply_write(4, write_checkpoint("a", 3, 0, b"one")) == Swapped(4)
    apply_write(5, CompareAndSwap(task_key("a"), 3, msgspec.msgpack.encode(TaskAssignment("y", "q"))))
    assert apply_write(6, write_checkpoint("a", 3, 4, b"late")) == FencingTokenRejected(5)
    assert apply_write(7, write_checkpoint("a", 5, 0, b"two")) == VersionMismatch(4)
    assert apply_write(8, write_checkpoint("a", 5, 4, b"two")) == Swapped(8)
    value = state.get("progress/a")
    assert value is not None and value.data == b"two"


def test_no_client_can_assign_a_task_or_store_a_checkpoint_without_a_token() -> None:
    mine = msgspec.msgpack.encode(TaskAssignment("me", "p"))
    assert rejection_reason(CompareAndSwap(task_key("a"), 0, mine)) == "the leader alone names owners"
    assert rejection_reason(CompareAndSwap(task_key("a"), 0, b"\xc1")).startswith("no duty")
    assert rejection_reason(CompareAndSwap("progress/a", 0, b"x")) == "progress needs its duty's token"
    assert (
        rejection_reason(write_checkpoint("b", 3, 0, b"x")) == ""
        and rejection_reason(CompareAndSwap("x", 0, b"x")) == ""
    )
    assert (
        rejection_reason(CompareAndSwap("progress/a", 0, b"x", write_checkpoint("b", 3, 0, b"").guard)) != ""
    )
    assert (
        rejection_reason(
            CompareAndSwap(task_key("a"), 4, msgspec.msgpack.encode(TaskAssignment(paused=True)))
        )
        == ""
    )
