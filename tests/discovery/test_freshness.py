"""How long a decision waits for the watch on the coordinator, with explicit times."""

from __future__ import annotations

from zincladder.discovery.freshness import (
    ANSWER_GAP_SECONDS,
    INITIAL_SYNC_SECONDS,
    MAX_FAILED_ATTEMPTS,
    RESYNC_SECONDS,
    Freshness,
    WatchPhase,
)


def started(now: float = 100.0) -> Freshness:
    freshness = Freshness(min_grace_seconds=0.5)
    freshness.connect_started(now)
    return freshness


def following(now: float = 100.0) -> Freshness:
    freshness = started(now)
    freshness.catch_up_requested(now)
    freshness.frame_received(now)
    return freshness


def test_decisions_wait_from_the_start_until_the_first_frame() -> None:
    freshness = Freshness(min_grace_seconds=0.5)
    # The watch has not begun to connect; the limit counts from its first connection attempt.
    assert freshness.seconds_until_usable(50.0) > 0
    freshness.connect_started(100.0)
    assert freshness.seconds_until_usable(100.0) == INITIAL_SYNC_SECONDS and not freshness.has_synced(100.0)
    freshness.catch_up_requested(100.1)
    assert freshness.seconds_until_usable(100.2) > 0
    freshness.frame_received(100.3)
    assert freshness.seconds_until_usable(100.3) == 0 and freshness.has_synced(100.3)


def test_a_silent_coordinator_keeps_a_front_out_of_service_for_a_limited_time() -> None:
    freshness = started()
    freshness.catch_up_requested(100.0)
    freshness.watch_failed(101.6, timed_out=True)
    freshness.catch_up_requested(101.7)
    assert 0 < freshness.seconds_until_usable(102.9) < 0.2
    assert freshness.seconds_until_usable(100.0 + INITIAL_SYNC_SECONDS) == 0 and freshness.has_synced(103.0)


def test_the_coordinator_is_unreachable_only_after_several_failed_attempts() -> None:
    freshness = started()
    for n in range(MAX_FAILED_ATTEMPTS):
        assert freshness.seconds_until_usable(100.1) > 0, n
        freshness.watch_failed(100.1)
    assert freshness.seconds_until_usable(100.1) == 0 and freshness.phase is WatchPhase.UNREACHABLE
    # The coordinator is back, and counts all events from now on as delivered.
    freshness.catch_up_requested(110.0)
    assert freshness.seconds_until_usable(110.0) > 0
    freshness.frame_received(110.1)
    assert freshness.seconds_until_usable(110.1) == 0


def test_decisions_do_not_wait_for_a_broken_watch_during_a_share_of_the_grace() -> None:
    freshness = following()
    freshness.watch_failed(100.9)
    assert freshness.seconds_until_usable(100.95) == 0
    freshness.catch_up_requested(101.0)
    assert freshness.seconds_until_usable(101.2) == 0 and freshness.seconds_until_usable(101.26) > 0
    freshness.frame_received(101.3)
    assert freshness.seconds_until_usable(101.3) == 0


def test_decisions_wait_for_a_stalled_coordinator_once_and_not_at_each_reconnect() -> None:
    freshness, now, waited = following(), 100.0, 0.0
    freshness.watch_failed(now)
    for _ in range(20):  # the coordinator accepts connections and sends nothing
        now += 0.05
        freshness.catch_up_requested(now)
        for _ in range(16):
            now += 0.1
            waited += 0.1 * (freshness.seconds_until_usable(now) > 0)
        freshness.watch_failed(now, timed_out=True)
    assert 0 < waited <= RESYNC_SECONDS


def test_decisions_wait_again_for_a_coordinator_that_closed_connections() -> None:
    # The coordinator may have recovered, and the answer to the next catch-up request may contain events.
    freshness = started()
    for n in range(5):
        freshness.catch_up_requested(100.0 + n)
        freshness.watch_failed(100.01 + n)
    assert freshness.phase is WatchPhase.UNREACHABLE and freshness.seconds_until_usable(104.5) == 0
    freshness.catch_up_requested(105.0)
    assert freshness.seconds_until_usable(105.1) > 0
    freshness.frame_received(105.3)
    assert freshness.seconds_until_usable(105.3) == 0


def test_after_a_stall_of_the_process_decisions_wait_for_the_next_frame() -> None:
    freshness = following()
    assert freshness.seconds_until_usable(101.9) == 0
    assert freshness.seconds_until_usable(105.0) > 0  # no frame for longer than the watch's timeout
    freshness.watch_failed(105.0)
    assert freshness.seconds_until_usable(105.1) > 0
    freshness.catch_up_requested(105.1)
    assert freshness.seconds_until_usable(105.1) > 0
    freshness.frame_received(105.2)
    assert freshness.seconds_until_usable(105.2) == 0


def test_an_answer_in_several_frames_is_used_once_no_more_follow() -> None:
    # Guards against requests that are decided between two events of a late answer, of which the second one
    # drains their endpoint.
    freshness = Freshness(0.5)
    freshness.connect_started(100.0)
    freshness.catch_up_requested(100.1)
    for at in (101.6, 101.605, 101.61):
        freshness.frame_received(at, ends_answer=False)
        assert 0 < freshness.seconds_until_usable(at + 0.004) <= ANSWER_GAP_SECONDS
    assert not freshness.has_synced(101.62)
    assert freshness.seconds_until_usable(101.61 + ANSWER_GAP_SECONDS) == 0
    assert freshness.phase is WatchPhase.FOLLOWING
    freshness.frame_received(102.0, ends_answer=False)  # an event of the open watch
    assert freshness.seconds_until_usable(102.0) == 0


def test_an_empty_frame_ends_an_answer_and_an_endless_answer_ends_with_the_phase() -> None:
    freshness = Freshness(0.5)
    freshness.connect_started(100.0)
    freshness.catch_up_requested(100.1)
    freshness.frame_received(100.2, ends_answer=False)
    freshness.frame_received(100.21)
    assert freshness.seconds_until_usable(100.21) == 0
    freshness.watch_failed(101.0)
    freshness.catch_up_requested(101.1)
    at = 101.1
    while at < 101.0 + RESYNC_SECONDS:
        freshness.frame_received(at, ends_answer=False)
        at += 0.02
    assert freshness.seconds_until_usable(101.0 + RESYNC_SECONDS) == 0


def test_an_answer_that_breaks_off_is_no_answer() -> None:
    freshness = Freshness(0.5)
    freshness.connect_started(100.0)
    freshness.catch_up_requested(100.1)
    freshness.frame_received(100.2, ends_answer=False)
    freshness.watch_failed(100.21)
    assert freshness.seconds_until_usable(100.21 + ANSWER_GAP_SECONDS) > 1


def test_a_catch_up_request_that_is_made_again_counts_from_the_first() -> None:
    # Events count as delivered as soon as the front has asked for them, on whichever connection.
    freshness = following()
    freshness.watch_failed(100.0)
    freshness.catch_up_requested(100.1)
    freshness.catch_up_requested(100.3)
    assert freshness.seconds_until_usable(100.34) == 0 and freshness.seconds_until_usable(100.36) > 0


def test_decisions_wait_for_the_rest_of_an_answer_that_comes_after_the_longest_wait() -> None:
    # Guards against decisions between two events of a very late answer, of which the second one drains.
    for freshness, asked_at in ((started(), 100.0), (following(), 101.0)):
        if asked_at > 100.0:
            freshness.watch_failed(asked_at)
        freshness.catch_up_requested(asked_at)
        assert freshness.seconds_until_usable(asked_at + 9.9) == 0
        freshness.frame_received(asked_at + 10.0, ends_answer=False)
        assert 0 < freshness.seconds_until_usable(asked_at + 10.001) <= ANSWER_GAP_SECONDS
        freshness.frame_received(asked_at + 10.01, ends_answer=False)
        assert 0 < freshness.seconds_until_usable(asked_at + 10.011) <= ANSWER_GAP_SECONDS
        assert freshness.seconds_until_usable(asked_at + 10.01 + ANSWER_GAP_SECONDS) == 0


def test_a_front_waits_once_for_a_coordinator_that_is_slow_to_answer() -> None:
    freshness = following()
    freshness.watch_failed(101.0)
    freshness.catch_up_requested(101.05)
    assert freshness.seconds_until_usable(101.5) > 0
    assert freshness.seconds_until_usable(101.0 + RESYNC_SECONDS) == 0
    freshness.catch_up_requested(102.65)  # on a further connection
    assert freshness.seconds_until_usable(102.7) == 0
