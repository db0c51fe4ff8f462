"""Duties without I/O: every order of events at small scope, rules broken on purpose, fences, sums."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.small import Scope, search, walk
from tests.small_duties import TERMS, SmallDuties, taken_over
from tests.support.raft_simulation import Broken
from zincladder.config import DutiesConfig
from zincladder.consensus.key_value_state import (
    MAX_VALUE_BYTES,
    CompareAndSwap,
    FencingTokenRejected,
    KeyValueState,
    Swapped,
    VersionMismatch,
)
from zincladder.ownership.fence import MOST_DUTIES, Fence
from zincladder.ownership.host import fault
from zincladder.ownership.model import Duty, GivesBack, Keeps, Lent, Stop, Wants, Yours, checkpoint, key
from zincladder.ownership.owner import Held, Owner
from zincladder.ownership.steward import Steward
from zincladder.ownership.sums import (
    MOST_PROCESSES,
    MOST_SERIES,
    MOST_TOLD,
    Sums,
    Totals,
    next_time,
    packed,
    unpacked,
)
from zincladder.ownership.worker import Worker

# Many faults of all kinds, and leaders that hardly last.
WIDE = (
    Scope(changes=4, leaders=3, kills=3, breaks=4, until=60, noise=20),
    Scope(changes=1, leaders=12, kills=1, breaks=2, until=60, noise=20),
)


def play(seed: int) -> SmallDuties:
    state = SmallDuties(WIDE[seed % 2], processes=2 + seed // 2 % 2, effects=30)
    walk(state, seed, 400)
    return state


def test_no_order_of_events_makes_two_owners_or_lets_an_old_effect_in() -> None:
    # one process and its successors, one effect: all there is, 7,000 states
    scope = Scope(changes=0, kills=1, until=3)
    states, count = search(SmallDuties(scope, processes=1, effects=1), good=taken_over)
    assert states > 2000 and count > 10


@pytest.mark.parametrize("block", range(4))
def test_nor_does_any_of_many_long_histories(block: int) -> None:
    owners = sum(play(seed).register[1] for seed in range(block * 500, block * 500 + 500))
    assert owners > 2500  # entries that made or unmade an owner


# Broken on purpose --------------------------------------------------------------------------------


def no_fence(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Fence, "admit", lambda *_: "")


def a_lease_a_little_long(patch: pytest.MonkeyPatch) -> None:
    lent = Owner._lent

    def longer(self: Owner, message: Lent, now: float) -> None:
        lent(self, msgspec.structs.replace(message, believed=message.believed + 1), now)

    patch.setattr(Owner, "_lent", longer)


def a_lease_from_its_answer(patch: pytest.MonkeyPatch) -> None:
    lent = Owner._lent

    def later(self: Owner, message: Lent, now: float) -> None:
        if message.serial in self._asked:
            self._asked[message.serial] = now
        lent(self, message, now)

    patch.setattr(Owner, "_lent", later)


def a_new_leader_that_does_not_wait(patch: pytest.MonkeyPatch) -> None:
    made = Steward.__init__

    def hasty(self: Steward, *args: Any) -> None:
        made(self, *args)
        self._unknown = args[1]

    patch.setattr(Steward, "__init__", hasty)


def an_older_word_frees_a_duty(patch: pytest.MonkeyPatch) -> None:
    given = Steward._given_back

    def any_token(self: Steward, worker: Any, duty: str, token: int, now: float) -> None:
        given(self, worker, duty, self.lent.get(duty, (token, 0.0))[0], now)

    patch.setattr(Steward, "_given_back", any_token)


def a_duty_that_is_taken_while_it_is_lent(patch: pytest.MonkeyPatch) -> None:
    free = Steward.free_at
    patch.setattr(Steward, "free_at", lambda self, duty: free(self, duty) - 2)


def a_token_that_comes_twice(patch: pytest.MonkeyPatch) -> None:
    land = SmallDuties.land

    def again(self: SmallDuties, write: Any) -> None:
        land(self, write)
        self.register = (self.register[0], self.register[1] // 3 + 1)

    patch.setattr(SmallDuties, "land", again)


BREAKINGS: list[Callable[[pytest.MonkeyPatch], None]] = [
    no_fence,
    a_lease_a_little_long,
    a_lease_from_its_answer,
    a_new_leader_that_does_not_wait,
    an_older_word_frees_a_duty,
    a_duty_that_is_taken_while_it_is_lent,
    a_token_that_comes_twice,
]


@pytest.mark.parametrize("breaks", BREAKINGS, ids=lambda b: b.__name__)
def test_the_judge_notices_each_rule_that_is_broken_on_purpose(
    breaks: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    breaks(monkeypatch)
    with pytest.raises(Broken):
        for seed in range(3000):
            play(seed)


# The owner, step by step --------------------------------------------------------------------------


def owning(now: float = 100.0) -> Owner:
    owner = Owner(["a", "b"], now)
    owner.link(True, now)
    owner.heard(Yours("a", 7), now)
    (wants, idle, asked) = owner.take().say
    assert wants == Wants(("a", "b"))
    assert isinstance(idle, Keeps) and not idle.held and isinstance(asked, Keeps)
    assert asked == Keeps(idle.serial + 1, (("a", 7),))
    assert owner.acting("a", now) == 0  # it is the owner, and has no lease yet
    owner.heard(Lent(asked.serial, (("a", 7),), 5.0, 1.0), now + 0.4)
    assert owner.take().begin == ["a"]
    return owner


def test_an_owner_acts_from_its_lease_on_and_not_a_moment_past_it() -> None:
    owner = owning()
    assert owner.acting("a", 104.99) == 7 and owner.acting("a", 105.0) == 0 and owner.acting("b", 101) == 0
    assert owner.acting("a", 3700.0) == 0  # it slept, and nobody has told it anything


def test_the_first_lease_says_how_often_to_ask_from_now_on() -> None:
    owner = Owner(["a"], 100.0)
    owner.link(True, 100.0)
    owner.heard(Yours("a", 7), 100.0)
    asked = owner.take().say[-1]
    assert isinstance(asked, Keeps)
    owner.heard(Lent(asked.serial, (("a", 7),), 1.5, 0.25), 100.1)
    assert owner.next_at == pytest.approx(100.35)


def test_work_ends_with_its_lease_and_begins_anew_with_the_next_if_nobody_else_came() -> None:
    owner = owning()
    owner.link(False, 101.0)
    owner.tick(106.0)
    assert owner.take().end == ["a"]
    owner.link(True, 107.0)
    asked = owner.take().say[-1]
    assert isinstance(asked, Keeps) and asked.held == (("a", 7),)
    owner.heard(Lent(asked.serial, (("a", 7),), 5.0, 1.0), 107.1)
    assert owner.take().begin == ["a"] and owner.acting("a", 108.0) == 7


def test_what_a_lease_does_not_name_is_lost_at_once() -> None:
    owner = owning()
    owner.tick(101.0)
    (asked,) = owner.take().say
    assert isinstance(asked, Keeps)
    owner.heard(Lent(asked.serial, (), 5.0, 1.0), 101.1)
    assert owner.acting("a", 101.1) == 0 and owner.take().end == ["a"] and not owner.held


def test_a_stop_is_answered_and_an_older_one_ends_nothing() -> None:
    owner = owning()
    owner.heard(Stop("a", 6), 100.5)
    assert owner.acting("a", 100.5) == 7
    owner.heard(Stop("a", 7), 100.6)
    assert owner.acting("a", 100.6) == 0 and owner.take().say == [GivesBack("a", 7)]


def test_one_that_leaves_gives_all_back_and_wants_nothing() -> None:
    owner = owning()
    owner.leave()
    wish = owner.take()
    assert wish.say == [Wants(()), GivesBack("a", 7)] and wish.end == ["a"]
    owner.heard(Yours("b", 9), 101.0)
    assert not owner.held


def test_the_sum_of_a_lease_leaves_time_to_act() -> None:
    # asked, believed and acted at the latest, by a slow clock; heard and waited out by a fast one
    for terms in (
        TERMS,
        msgspec.structs.replace(TERMS, lease_seconds=5.0, clock_drift=0.01, max_action_seconds=0.2),
    ):
        slowest = terms.holder_seconds / (1 - terms.clock_drift) + terms.max_action_seconds
        assert slowest <= terms.expiry_seconds / (1 + terms.clock_drift) + 1e-9


# The steward, step by step ------------------------------------------------------------------------


class Lead:
    """A steward whose writes come about at once."""

    def __init__(self, *names: str) -> None:
        self.now, self.index = 100.0, 1
        self.registers: dict[str, tuple[Duty, int]] = {}
        self.steward = Steward(TERMS, self.now - 50)
        self.steward.knows(self.registers, self.now)
        self.said: list[tuple[int, Any]] = []
        for n, name in enumerate(names, 1):
            self.steward.linked(n, name, "p", self.now)
            self.hears(n, Wants(("a",)))

    def hears(self, number: int, message: Any) -> None:
        self.steward.heard(number, message, self.now)
        self.settle()

    def settle(self, seconds: float = 0.0) -> None:
        self.now += seconds
        self.steward.tick(self.now)
        while (wish := self.steward.take()).write or wish.say:
            self.said += wish.say
            for take in wish.write:
                assert take.expected == self.registers.get(take.duty, (Duty(), 0))[1]
                self.index += 1
                self.registers[take.duty] = (take.value, self.index)
            if wish.write:
                self.steward.knows(self.registers, self.now)
            for take in wish.write:
                self.steward.wrote(take.duty, self.now)

    def owner(self) -> str:
        return self.registers["a"][0].owner


def test_one_that_is_silent_with_its_link_up_loses_its_duty_when_its_lease_is_over() -> None:
    lead = Lead("x", "y")
    first = lead.owner()
    lead.settle(TERMS.expiry_seconds - 0.1)
    assert lead.owner() == first
    lead.settle(0.2)
    assert lead.owner() != first and lead.owner()
    lead.settle(TERMS.expiry_seconds + 0.1)  # the other is silent too: it goes round, and never to nobody
    assert lead.owner() == first


def test_nobody_gets_a_lease_while_a_duty_changes_hands_whatever_else_is_decided_meanwhile() -> None:
    # any entry that was learned of ended the wait for this one: both would have acted
    lead = Lead("x", "y")
    number, token = lead.steward.owner_link("a"), lead.registers["a"][1]
    lead.now += TERMS.expiry_seconds + 0.1
    lead.steward.tick(lead.now)
    (take,) = lead.steward.take().write
    lead.steward.knows(lead.registers, lead.now)  # of something else
    lead.steward.heard(number, Keeps(1, (("a", token),)), lead.now)
    wish = lead.steward.take()
    assert not wish.write and [m for _, m in wish.say] == [
        Lent(1, (), TERMS.holder_seconds, TERMS.renew_seconds)
    ]
    lead.registers["a"] = (take.value, token + 1)
    lead.steward.knows(lead.registers, lead.now)
    lead.steward.wrote("a", lead.now)
    lead.hears(3 - number, Keeps(1, (("a", token + 1),)))
    assert lead.said[-1][1] == Lent(1, (("a", token + 1),), TERMS.holder_seconds, TERMS.renew_seconds)


def test_the_only_one_there_is_keeps_its_duty_however_long_it_says_nothing() -> None:
    lead = Lead("x")
    token = lead.registers["a"][1]
    lead.settle(100.0)
    assert (lead.owner(), lead.registers["a"][1]) == ("x", token)
    lead.hears(1, Keeps(1, (("a", token),)))
    assert Lent(1, (("a", token),), TERMS.holder_seconds, TERMS.renew_seconds) in [m for _, m in lead.said]


def test_an_owner_that_is_gone_is_waited_for_and_one_that_gave_back_is_not() -> None:
    lead = Lead("x", "y")
    first = lead.owner()
    number = lead.steward.owner_link("a")
    lead.hears(number, Keeps(1, (("a", lead.registers["a"][1]),)))
    lead.steward.unlinked(number, lead.now)
    lead.settle(TERMS.expiry_seconds - 0.1)
    assert lead.owner() == first
    lead.settle(0.2)
    second = lead.owner()
    assert second and second != first
    other = lead.steward.owner_link("a")
    lead.steward.linked(9, "z", "p", lead.now)
    lead.hears(9, Wants(("a",)))
    lead.hears(other, Wants(()))
    lead.hears(other, GivesBack("a", lead.registers["a"][1]))
    assert lead.owner() == "z"


def test_a_word_on_a_token_that_was_never_lent_frees_nothing_and_is_not_kept() -> None:
    # guards what a former leader may have lent; and names are what a worker says they are
    steward = Steward(TERMS, 100.0)
    steward.knows({"a": (Duty("x", "p"), 7)}, 100.0)
    steward.linked(1, "y", "p", 100.0)
    steward.heard(1, Wants(("a",)), 100.0)
    for name in ("a", "b", "c"):
        steward.heard(1, GivesBack(name, 0), 100.0)
    assert not steward.lent and not steward.take().write
    steward.tick(100.0 + TERMS.expiry_seconds)
    assert steward.take().write


def test_an_owner_is_told_on_its_latest_link() -> None:
    # an older one may be half open: nothing said on it arrives, and nobody hears that it is gone
    lead = Lead("x")
    lead.steward.linked(5, "x", "p", lead.now)
    lead.said.clear()
    lead.hears(5, Wants(("a",)))
    assert lead.said == [(5, Yours("a", lead.registers["a"][1]))]


def test_what_is_paused_is_nobodys_and_a_wish_comes_first() -> None:
    lead = Lead("x", "y", "z")
    first = lead.owner()
    number, token = lead.steward.owner_link("a"), lead.registers["a"][1]
    wish = next(n for n in "xyz" if n != first)
    lead.index += 1
    lead.registers["a"] = (Duty(paused=True, wish=wish), lead.index)
    lead.steward.knows(lead.registers, lead.now)
    lead.settle()
    assert (number, Stop("a", token)) in lead.said
    lead.hears(number, GivesBack("a", token))
    lead.settle(50.0)
    assert lead.owner() == ""
    lead.index += 1
    lead.registers["a"] = (Duty(wish=wish), lead.index)
    lead.steward.knows(lead.registers, lead.now)
    lead.settle()
    assert lead.owner() == wish


def test_many_duties_are_spread_and_all_leaders_draw_the_same_lot() -> None:
    def given(order: list[str]) -> dict[str, str]:
        lead = Lead()
        for n, name in enumerate(order, 1):
            lead.steward.linked(n, name, "p", lead.now)
            lead.steward.workers[n].wants = frozenset(f"d{i}" for i in range(12))
        lead.settle()
        return {duty: found.owner for duty, (found, _) in lead.registers.items()}

    names = ["w", "x", "y", "z"]
    one, two = given(names), given(names[::-1])
    assert one == two and len(one) == 12
    assert {list(one.values()).count(name) for name in names} == {3}


# Fences -------------------------------------------------------------------------------------------


def test_a_fence_bars_what_is_older_than_what_it_has_seen_for_each_duty_by_itself() -> None:
    fence = Fence({"a": 5})
    assert fence.admit("a", 4) == "duty 'a': token 4 is older than 5, which has worked here"
    assert (fence.admit("a", 5), fence.admit("a", 9), fence.admit("b", 1)) == ("", "", "")
    assert fence.admit("a", 8) and fence.admit("b", 0) and fence.refused == 3
    assert Fence(fence.highest).admit("a", 8)  # through a restart
    for n in range(2 * MOST_DUTIES):
        fence.admit(f"x{n}", 1)
    assert len(fence.highest) == MOST_DUTIES and not fence.admit("a", 10)


def test_progress_is_written_only_under_the_token_that_stands_when_the_entry_is_applied() -> None:
    registers = KeyValueState()

    def put(index: int, swap: CompareAndSwap) -> object:
        return registers.apply(index, msgspec.msgpack.encode(swap))

    put(3, CompareAndSwap(key("a"), 0, msgspec.msgpack.encode(Duty("x", "p"))))
    assert put(4, checkpoint("a", 3, 0, b"one")) == Swapped(4)
    put(5, CompareAndSwap(key("a"), 3, msgspec.msgpack.encode(Duty("y", "q"))))
    assert put(6, checkpoint("a", 3, 4, b"late")) == FencingTokenRejected(5)
    assert put(7, checkpoint("a", 5, 0, b"two")) == VersionMismatch(4)
    assert put(8, checkpoint("a", 5, 4, b"two")) == Swapped(8)
    value = registers.get("progress/a")
    assert value is not None and value.data == b"two"


def test_no_caller_names_an_owner_or_writes_progress_without_a_token() -> None:
    mine = msgspec.msgpack.encode(Duty("me", "p"))
    assert fault(CompareAndSwap(key("a"), 0, mine)) == "the leader alone names owners"
    assert fault(CompareAndSwap(key("a"), 0, b"\xc1")).startswith("no duty")
    assert fault(CompareAndSwap("progress/a", 0, b"x")) == "progress needs its duty's token"
    assert fault(checkpoint("b", 3, 0, b"x")) == "" and fault(CompareAndSwap("x", 0, b"x")) == ""
    assert fault(CompareAndSwap("progress/a", 0, b"x", checkpoint("b", 3, 0, b"").guard)) != ""
    assert fault(CompareAndSwap(key("a"), 4, msgspec.msgpack.encode(Duty(paused=True)))) == ""


# Sums ---------------------------------------------------------------------------------------------


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 50), st.sampled_from("tgl")), max_size=60))
def test_sums_only_rise_and_count_nothing_twice_whoever_goes(steps: list[tuple[int, int, str]]) -> None:
    counted, real = Sums(), [0.0] * 4
    kept, epoch, total = Totals(), 0, 0.0
    for process, amount, what in steps:
        if what == "t":
            real[process] += amount
            counted.told(f"f{process}", "p", {"s": real[process]})
        elif what == "g":
            counted.gone(f"f{process}", "p")
        else:  # another leader: it begins at 0
            counted, epoch = Sums(), epoch + 1
        kept = kept.grown(str(epoch), counted.totals, kept.at + 1)
        assert total <= kept.totals.get("s", 0.0) <= sum(real)
        total = kept.totals.get("s", 0.0)


def test_what_a_process_had_counted_before_it_was_first_heard_is_not_counted_and_the_rest_is() -> None:
    sums = Sums()
    sums.told("x", "p", {"s": 1000.0})
    sums.told("x", "p", {"s": 1007.0, "t": 2.0})
    sums.told("x", "other", {"s": 3.0})  # its next process
    sums.told("x", "other", {"s": 5.0, "n": float("nan"), "m": -1.0})
    assert dict(sums.totals) == {"s": 9.0, "t": 2.0}


def test_the_sums_of_a_large_fleet_fit_a_register_and_nobody_makes_them_grow_without_end() -> None:
    sums = Sums()
    for turn in range(2):  # 400 caches with five ends each
        names = [
            f"zincladder_fleet_cache_attempts_total\0s-{n:08x}\0end{e}" for n in range(400) for e in range(5)
        ]
        sums.told("x", "p", {name: 1e6 * turn + i for i, name in enumerate(names)})
    kept = Totals().grown("k1/7", sums.totals, 1)
    assert len(kept.totals) == 2000 and len(packed(kept)) < MAX_VALUE_BYTES // 2
    assert unpacked(packed(kept)) == kept and unpacked(b"") == Totals()
    for process in range(2 * MOST_PROCESSES):
        sums.told(
            "y", f"p{process}", {f"{process} {i}": 1.0 for i in range(2 * MOST_TOLD if process < 5 else 9)}
        )
    assert len(sums._last) == MOST_PROCESSES and max(map(len, sums._last.values())) == MOST_TOLD
    assert len(sums.totals) <= MOST_SERIES and sums.left_out


def test_the_times_of_samples_are_even_and_rise_whatever_the_clock_does() -> None:
    at, found = 0, []
    for now in (100_400, 101_100, 102_900, 50_000, 50_900, 130_000):  # it is set back, and forward
        at = next_time(at, now, 1000)
        found.append(at)
    assert found == [100_000, 101_000, 102_000, 103_000, 104_000, 130_000]


@pytest.mark.anyio
async def test_a_worker_that_has_nothing_to_do_does_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    # measured: it woke itself up, and a front that only waited took a whole core
    worker = Worker(DutiesConfig("g", {"k1": "127.0.0.1:1"}, ()), "f0", {}, dict)
    ticks, tick = [], worker.owner.tick

    def counted(now: float) -> None:
        ticks.append(now)
        tick(now)

    monkeypatch.setattr(worker.owner, "tick", counted)
    with anyio.move_on_after(0.3):
        await worker.run(anyio.Event())
    assert 0 < len(ticks) < 10


def test_a_held_duty_is_known_by_its_token_alone() -> None:
    owner = owning()
    owner.heard(Yours("a", 5), 100.5)  # late, of an older turn
    assert owner.held["a"] == Held(7, 105.0, owner.held["a"].since)
