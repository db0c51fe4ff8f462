"""An object is purged while the coordinator takes two seconds to answer a front that asks for its events."""

from __future__ import annotations

import asyncio
import contextlib
import struct
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))

import rig as common  # noqa: E402

OBJECT = "7f3a9c21e0b4d655"
REQUESTS_PER_S = 20.0
QUIET_SECONDS = 3.0
ANSWER_SECONDS = 2.0  # how long the slow coordinator takes to answer
PURGE_AFTER_SECONDS = 0.5  # after the break
WATCHED_SECONDS = 12.0  # from the purge on
NOTICE_SECONDS = 1.0 + 0.05  # `noticeTime` of the settings, and what each limit is longer by on sockets
DONE_SECONDS = 6.0  # `goneEverywhere`: by then each cache has dropped the older copies
TOLD_AFTER_STOP_SECONDS = (
    4.0  # who takes the slow coordinator for a stopped one grants so long from the break on
)
TOLD_AFTER_SECONDS = 7.0  # what the coordinator has to tell counts as told by then at the latest


class Copies:
    """The copies of one object: an old one, and a new one that caches have some seconds after the purge."""

    def __init__(self) -> None:
        self.old_since = int(time.time() * 1000) - 60_000
        self.purged_at = float("inf")
        self.answered_old: list[float] = []  # when requests arrived that were answered from the old copy

    async def answer(self, cache: common.Cache, fetch: common.Fetch) -> tuple[str, str, bytes]:
        """Answers from the copy at hand, unless it is older than `cap` allows; fills a new one then."""
        now = time.time()
        cap_ms = float(fetch.fields.get("cap", "0")) or float("inf")  # absent: until it is purged
        holds_old = cache.kind == 0 and now < self.purged_at + DONE_SECONDS - 0.5
        if holds_old and now * 1000 - self.old_since <= cap_ms:
            self.answered_old.append(fetch.at)
            return "200", f"tell=local,rev=r1,since={self.old_since}", b"the old papers"
        since = int(now * 1000)
        return "200", f"tell=pulled,rev=r{since},since={since}", b"the new papers"


async def ask_for_it(address: tuple[str, int], kinds: dict[str, int], old: list[float]) -> None:
    """Asks for the object all the time; counts the answers, and notes when the old copy was served."""
    client = await common.Client.connect(address)
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            if client.ended:
                await client.close()
                client = await common.Client.connect(address)
            seq = await client.ask(route="video", patience="3000", entity=OBJECT)
            reply = await client.reply(seq, 4.0)
            kind = reply.kind if reply else "none"
            if reply and reply.body:
                kind = reply.body.decode()
                if reply.body == b"the old papers":
                    old.append(reply.at)
            kinds[kind] = kinds.get(kind, 0) + 1
            await asyncio.sleep(1 / REQUESTS_PER_S)
    await client.close()


async def play(rig: common.Rig) -> str:
    copies = Copies()
    caches = [common.Cache(f"s-0000000{number}", 0, copies.answer) for number in (1, 2, 3)]
    members = [*caches, common.Cache("s-000000a0", 1, copies.answer)]
    members.append(common.Cache("s-000000b0", 2, copies.answer))
    for member in members:
        await member.start()
    coordinator = common.Coordinator()
    await coordinator.start()
    front = common.Front(rig, common.config([member.entry() for member in members], coordinator.port))
    await front.start()
    await front.ready()
    kinds: dict[str, int] = {}
    old: list[float] = []
    asking = asyncio.create_task(ask_for_it(front.address, kinds, old))
    await asyncio.sleep(QUIET_SECONDS)
    broken_off_at = time.time()
    if common.TROUBLE:
        coordinator.answer_seconds = ANSWER_SECONDS
        coordinator.break_off()
        rig.record.line("the coordinator breaks off, and is slow from now on")
    await asyncio.sleep(PURGE_AFTER_SECONDS)
    copies.purged_at = purged_at = time.time()
    coordinator.tell(3, struct.pack(">QQ", int(OBJECT, 16), int(purged_at * 1000)))
    rig.record.line("the object is purged, and the coordinator holds it")
    await asyncio.sleep(WATCHED_SECONDS)
    asking.cancel()
    await asking
    if common.TROUBLE:
        asked_again = [at for at in coordinator.asked if at > purged_at]
        asked_at = min([*asked_again, purged_at + TOLD_AFTER_SECONDS])
        told_at = min(max(asked_at, broken_off_at + TOLD_AFTER_STOP_SECONDS), purged_at + TOLD_AFTER_SECONDS)
        early = [at for at in copies.answered_old if at > asked_at + NOTICE_SECONDS]
        rig.record.line(
            f"the front asked again {asked_at - purged_at:.2f} s after the purge; with that as told "
            f"{len(early)} requests would be past the limit"
        )
    else:
        told_at = purged_at
    for at in coordinator.asked:
        rig.record.line(f"the front asked for events {at - purged_at:+.2f} s from the purge")
    for at in coordinator.answered:
        rig.record.line(f"the coordinator answered {at - purged_at:+.2f} s from the purge")
    rig.record.line(f"counts as told {told_at - purged_at:.2f} s after the purge; answers: {kinds}")
    if not any(at < purged_at for at in copies.answered_old) or not kinds.get("the new papers"):
        raise RuntimeError("the old copy was not served before the purge, or the new one not after it")
    late = [at for at in copies.answered_old if at > told_at + NOTICE_SECONDS]
    served = [at for at in old if at > told_at + NOTICE_SECONDS]
    rig.record.line(f"{len(late)} requests sent past the limit were answered from the old copy")
    if not late or not served:
        return ""
    return (
        f"{len(late)} requests sent over {NOTICE_SECONDS} s after the purge counted as told were answered "
        f"from the older copy, and clients were served {len(served)} of them, the last "
        f"{max(served) - purged_at:.2f} s after the purge"
    )


common.case(play, FOLDER)
