"""Compares the bytes that a front sends, receives, exports and stores with fixtures.

Values are compared by position, without the names of their fields, so that a rename which changes no byte
needs no change here. Each line of a fixture holds an input and its output.
"""

from __future__ import annotations

import shutil
import socket
import struct
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import cramjam
import dns.message
import dns.rcode
import pytest

from tests.support.golden import DATA, assert_matches, positional
from tests.support.routing import FLEET, settings
from zincladder.config import DnsConfig, DnsHost
from zincladder.core.attempt import AttemptRequest, ClientRequest
from zincladder.core.engine import Core
from zincladder.dns.answers import DnsResponder
from zincladder.durable import records
from zincladder.export import messages
from zincladder.export.spool import Spool
from zincladder.metrics.exposition import Sample
from zincladder.net import protocol, thrift
from zincladder.net.errors import ConnectionEndedError, InvalidFieldsError
from zincladder.net.events import FrameReader, read_event
from zincladder.routing import interface as api
from zincladder.simulator import wire

CALL_FIELDS = {
    "route": "page", "trace": "00000000000000a1", "patience": "1500", "redo": "1", "nonce": "k-1_Z",
    "entity": "7f3a9c21e0b4d655", "slice": "3", "set": "17", "size": "12.5", "seen": "tag-1",
}  # fmt: skip


def outcome(read: Callable[[], Any], errors: type[Exception], with_text: bool = False) -> Any:
    """Returns the value that `read` returns, or "fault" if it raises one of `errors`.

    `with_text` adds the error text, for errors whose text is sent to the peer.
    """
    try:
        return positional(read())
    except errors as fault:
        return f"fault: {fault}" if with_text else "fault"


# Clients ------------------------------------------------------------------------------------------


def thrift_string(value: str) -> bytes:
    return struct.pack(">i", len(value.encode())) + value.encode()


def thrift_map(fields: dict[str, str]) -> bytes:
    entries = b"".join(thrift_string(key) + thrift_string(value) for key, value in fields.items())
    return struct.pack(">BBi", 11, 11, len(fields)) + entries


def call_message(method: str, kind: int, number: int, arguments: bytes) -> bytes:
    return (
        struct.pack(">I", 0x80010000 | kind)
        + thrift_string(method)
        + struct.pack(">i", number)
        + arguments
        + b"\0"
    )


def handle_arguments(fields: dict[str, str], body: bytes = b"") -> bytes:
    return b"\x0d\0\1" + thrift_map(fields) + b"\x0b\0\2" + struct.pack(">i", len(body)) + body


def test_calls_of_clients() -> None:
    # Fields that a newer client might send: a struct that holds a list, and a flag.
    unknown_fields = b"\x0c\0\x09\x0f\0\1\x08\0\0\0\1\0\0\0\7\0" + b"\x02\0\x0a\1"
    complete = call_message("handle", 1, 7, handle_arguments(CALL_FIELDS, b"body"))
    calls = [
        complete,
        call_message("handle", 1, 8, unknown_fields + handle_arguments({"route": "page"})),
        call_message("withdraw", 4, 9, b"\x08\0\1" + struct.pack(">i", 7)),
        call_message("status", 1, 10, b""),
        call_message("other", 1, 11, b"\x0b\0\1" + thrift_string("x")),
        complete[:-9],
        complete + b"\0",
        b"\0\0\0\1" + complete[4:],
        call_message("handle", 1, 1, b"\x0d\0\1" + struct.pack(">BBi", 8, 11, 1)),
        call_message("handle", 1, 1, b"\x63\0\1"),
    ]
    framed = b"".join(struct.pack(">i", len(c)) + c for c in (calls[0], calls[2], calls[2], calls[3]))
    found = [
        [call.hex(), outcome(partial(thrift.read_call, call), thrift.MalformedMessageError)] for call in calls
    ]
    found.append([framed.hex(), list(thrift.find_withdrawn(framed, 0))])
    assert_matches("wires/client_calls.json", found)


def test_answers_to_clients() -> None:
    fields = {"current": "1", "wait": "20"}
    answers = {
        "served": thrift.answer("handle", 7, b"the body", fields, True),
        "served, the client's copy": thrift.answer("handle", 7, bytearray(), {"current": "1"}, True),
        "not good": thrift.answer("status", 2147483647, b"", {}, False),
        "throttled": thrift.declared_exception("handle", 8, 1, fields),
        "broken": thrift.declared_exception("handle", 9, 2, {}),
        "unknown method": thrift.application_exception("x", 1, thrift.UNKNOWN_METHOD, "no method 'x\u00e9'"),
        "internal error": thrift.application_exception("x", 1, thrift.INTERNAL_ERROR, "ended"),
        "protocol error": thrift.application_exception("x", 1, thrift.PROTOCOL_ERROR, "bad"),
    }
    assert_matches("wires/client_answers.json", {k: b"".join(parts).hex() for k, parts in answers.items()})


def request_values(fields: dict[str, str]) -> list[Any]:
    return list(protocol.read_request(fields).values())


def test_fields_of_a_clients_request() -> None:
    changes: list[dict[str, str | None]] = [
        {}, {"redo": None, "nonce": None, "size": None, "seen": None}, {"route": None}, {"trace": "A" * 16},
        {"patience": "0"}, {"patience": "+1"}, {"redo": "0"}, {"nonce": ""}, {"nonce": "x" * 65},
        {"entity": "7f"}, {"entity": None}, {"slice": "1048577"}, {"set": "256"}, {"size": "0"},
        {"size": "1e3"},
        {"size": "10000001"}, {"seen": "a b"}, {"unheard": "x"},
    ]  # fmt: skip
    found = []
    for change in changes:
        fields = {key: value for key, value in (CALL_FIELDS | change).items() if value is not None}
        found.append([change, outcome(partial(request_values, fields), InvalidFieldsError, True)])
    assert_matches("wires/client_fields.json", found)


# Caches -------------------------------------------------------------------------------------------


def test_fields_of_a_fetch() -> None:
    minimal = ClientRequest("00000000000000a1", 0, 0x7F3A9C21E0B4D655, None, 17, 9.0)
    full = ClientRequest("00000000000000a2", 1, 5, 3, 17, 9.0, True, True, "tag-1", "k-1_Z", b"body", 12.5)
    source = b"s-000000a0"
    attempts = [
        AttemptRequest(minimal, b"s-00000001"),
        AttemptRequest(full, b"s-00000001", source, 2, 1.5, True, True, True, True, 8.0),
        AttemptRequest(minimal, b"s-00000001", source, 1, 0.0, True, False, False, False, 8.0),
        AttemptRequest(minimal, b"s-00000001", source, 0, float("inf"), False, True, False, False, 8.0),
        AttemptRequest(minimal, b"s-00000001", None, 0, 0.0004, False, False, True, False, 8.0),
        AttemptRequest(minimal, b"s-00000001", source, 0, 31.2345, False, False, False, True, 8.0),
    ]
    found = [
        protocol.write_fetch(o, name, left)
        for o in attempts
        for name, left in (("page", 1.2345), ("b", 1e-5))
    ]
    assert_matches("wires/cache_fetch.json", found)


def answer_values(fields: dict[str, str]) -> list[Any]:
    return list(protocol.read_answer(fields).values())


def test_fields_of_a_caches_answer() -> None:
    answers: list[dict[str, str]] = [
        {}, *({"tell": word} for word in (*sorted(protocol.FILL_OUTCOMES), "unheard")),
        {"fill": "125", "meter": "util:0.5;inflight:1;x1:0.25;q:3;x0:0.5;rif:2;queue:4;own:1", "since": "3",
         "rev": "aa", "unheard": "x"},
        {"meter": "util:nan"}, {"meter": "util"}, {"meter": "util:-1"}, {"fill": "x"}, {"since": "-1"},
    ]  # fmt: skip
    found = [[fields, outcome(partial(answer_values, fields), ValueError)] for fields in answers]
    words = [[word.decode(), end.value] for word, end in protocol.END_REASONS.items()]
    assert_matches("wires/cache_answer.json", {"fields": found, "words": words})


# The coordinator ----------------------------------------------------------------------------------


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


def member_record(number: int, state: int) -> bytes:
    host = socket.inet_aton("192.0.2.7")
    return struct.pack(">I4sHBBBHIQ", number, host, 4000 + number, state, 1, 2, 3, 1500, 1_700_000_000_250)


def test_frames_of_the_coordinator() -> None:
    members = b"".join(member_record(n, n % 3) for n in range(4))
    frames = [
        frame(0, 0), frame(1, 1, members), frame(2, 2, members[:31]), frame(3, 2, members[:27]),
        frame(4, 3, struct.pack(">QQ", 0x7F3A9C21E0B4D655, 1_700_000_000_500)),
        frame(5, 4, struct.pack(">HQ", 17, 1_700_000_000_750)), frame(6, 4, b"x"),
        frame(7, 9, b"of a newer one"),
        frame(8, 1), frame(9, 2, member_record(1, 7)),
    ]  # fmt: skip
    read = list(FrameReader().feed(b"".join(frames)))
    assert [positional(f)[:2] for f in read] == [[n, f[12]] for n, f in enumerate(frames)]
    reader = FrameReader()
    by_byte = [f for data in b"".join(frames) for f in reader.feed(bytes([data]))]
    assert by_byte == read and not reader.partial
    found = [
        [data.hex(), outcome(partial(read_event, f), ConnectionEndedError)]
        for data, f in zip(frames, read, strict=True)
    ]
    found.append(["bad length", outcome(lambda: list(FrameReader().feed(bytes(13))), ConnectionEndedError)])
    assert_matches("wires/coordinator_frames.json", found)


# DNS ----------------------------------------------------------------------------------------------

QUESTIONS = (
    ("papers.main.example.org", "A"), ("_rpc._tcp.papers.main.example.org", "SRV"),
    ("papers.main.example.org", "AAAA"), ("_tcp.papers.main.example.org", "A"), ("main.example.org", "SOA"),
    ("main.example.org", "NS"), ("other.main.example.org", "A"), ("example.com", "A"),
)  # fmt: skip


def test_answers_over_dns() -> None:
    core = Core(settings(), 1, None)  # type: ignore[arg-type]
    core.update_endpoints(api.UpdateKind.FULL, 1, FLEET)
    table = DnsConfig(
        ("127.0.0.1", 0), "main.example.org", 0.25, (DnsHost("papers.main.example.org", 0, 7, 3),)
    )
    answers = DnsResponder(table, core, lambda member: ("192.0.2.7", 4000))
    queries = [dns.message.make_query(name, kind, id=4711).to_wire() for name, kind in QUESTIONS]
    queries.append(dns.message.make_query(*QUESTIONS[0], id=4712, use_edns=0, payload=1232).to_wire())
    queries.append(dns.message.make_query(*QUESTIONS[0], id=4712, use_edns=1).to_wire())
    update = bytearray(queries[0])
    update[2] |= 5 << 3  # opcode UPDATE
    queries += [bytes(update), queries[0][:-2], queries[0][:8], queries[0][:2] + b"\x80" + queries[0][3:]]
    found = []
    for query in queries:
        now = core.clock.now()
        complete, late = answers.respond(query, now), answers.respond(query, now - 1.0)
        cut = answers.truncated(query)
        found.append([positional(part) for part in (query, complete, late, cut)])
    assert_matches("wires/dns.json", found)


# The simulator ------------------------------------------------------------------------------------

ID = bytes.fromhex("0a124a075b1b")


def member_entry(state: int) -> bytes:
    return struct.pack("<HBfHdH", 2, state, 4.5, 3, 1.25, 1) + ID


def attempt_ended(result: int, note: int) -> bytes:
    head = struct.pack("<IQH", 3, 9, 1) + ID + struct.pack("<HdBBd", result, 0.25, 1, note, 0.5)
    return head + struct.pack("<B2f", 2, 0.5, 1.5)


SETTINGS = (
    b'{"az": 1, "categories": [{"deadline": 5.0, "effect": "deduplicated", "onTime": 0.6, "window": 2.0}],'
    b' "domain": {"midKind": 1, "originKind": 2}, "replicasOfMe": 3}'
)
EVENTS: tuple[tuple[int, bytes], ...] = (
    (10, struct.pack("<IIH", 3, 4, 2) + b"ab"),
    (20, struct.pack("<IQHd", 3, 77, 5, 1.5)),
    (20, struct.pack("<IQHd", 3, 0, 5, 1.5)),
    (30, struct.pack("<IQI", 3, 9, len(SETTINGS)) + SETTINGS),
    (30, struct.pack("<IQI", 3, 9, 1) + b"{"),
    *((40, attempt_ended(result, 1)) for result in range(10)),
    *((40, attempt_ended(1, note)) for note in range(12)),
    (50, struct.pack("<IQffBQBfHd", 3, 1, 11.0, 641.5, 7, 77, 1, 3.0, 6, 4.5)),
    (50, struct.pack("<IQffBQBfHd", 3, 1, 11.0, 641.5, 0, 77, 1, 3.0, 6, 4.5)),
    (60, struct.pack("<IQH", 3, 9, 1) + ID + struct.pack("<d", 0.25)),
    (70, struct.pack("<IQ", 3, 8)),
    (80, struct.pack("<IQ", 3, 9)),
    (90, struct.pack("<I", 3)),
    (100, struct.pack("<I", 3) + ID + struct.pack("<dHB1f", 0.25, 1, 1, 0.5)),
    *((110, struct.pack("<IBQI", 3, kind, 6, 1) + member_entry(1)) for kind in range(6)),
    *((110, struct.pack("<IBQI", 3, 1, 6, 1) + member_entry(state)) for state in range(4)),
    (120, b""),
    (70, struct.pack("<IQ", 3, 8) + b"x"),
    (70, b"x"),
)  # fmt: skip


def decoded(code: int, fields: bytes) -> Any:
    body = struct.pack("<dI", 1.5, 1) + struct.pack("<BI", code, len(fields)) + fields
    (record,) = wire.decode_body(7, body).records
    return record


def test_events_of_the_simulator() -> None:
    found = [
        [code, fields.hex(), outcome(partial(decoded, code, fields), wire.WireError)]
        for code, fields in EVENTS
    ]
    assert_matches("wires/simulator_events.json", found)


def test_actions_for_the_simulator() -> None:
    other = bytes.fromhex("0a124a075b1c")
    actions: list[api.Action] = [
        api.Lookup(9, ID),
        api.Reject(9, 0.25),
        api.Fail(9),
        api.Cancel(9, 2),
        api.SetTimer(0.5, 8),
        api.Probe(ID),
        api.Subscribe(True),
        api.Subscribe(False),
        api.Fetch(9, ID, other, 2, 1.5),
        api.Fetch(9, ID, ID, 0, 0.0, True, False, False, False),
        api.Fetch(9, ID, ID, 0, 0.0, False, True, False, False),
        api.Fetch(9, ID, ID, 0, 0.0, False, False, True, False),
        api.Fetch(9, ID, ID, 0, 0.0, False, False, False, True),
    ]
    found = [wire.encode_action(3, action).hex() for action in actions]
    found += [wire.encode_instance_failed(3, "fault").hex(), wire.encode_reply(7, b"records").hex()]
    assert_matches("wires/simulator_actions.json", found)


# Remote write -------------------------------------------------------------------------------------

SAMPLES = (
    Sample("zincladder_answers_total", (("front", "n0"), ("kind", "served")), 3.0),
    Sample("zincladder_members", (("front", "n0"),), 7.5),
    Sample("zincladder_cache_attempts_open", (("front", "n0"), ("cache", "s-00000001")), 0.0),
)


def test_remote_write_messages() -> None:
    encoded = messages.encode_batch(SAMPLES, 1_700_000_000_250, 1_600_000_000_000)
    batch, count = encoded.payload, encoded.sample_count
    found: dict[str, Any] = {"2.0": batch.hex(), "count": count, "1.0": messages.to_v1(batch).hex()}
    for version in (1, 2):
        push = messages.push_body(batch, version)
        found[f"headers of version {version}"] = [push.content_type, push.version_header]
        assert bytes(cramjam.snappy.decompress_raw(push.body)) == (
            messages.to_v1(batch) if version == 1 else batch
        )
    assert_matches("wires/remote_write.json", found)


# The spool ----------------------------------------------------------------------------------------

SPOOL = DATA / "spool"
BATCHES = [(1_700_000_000_000 + n, b"batch %d " % n * (n + 1)) for n in range(5)]


def write_spool(folder: Path) -> None:
    """Writes a spool of five batches, of which the first two are acknowledged."""
    spool = Spool(folder, 1 << 20)
    for timestamp_ms, payload in BATCHES:
        spool.append(timestamp_ms, payload)
    for _ in range(2):
        first = spool.oldest()
        assert first is not None
        spool.acknowledge(first)
    spool.close()


def test_a_spool_is_written_like_the_fixture(tmp_path: Path) -> None:
    write_spool(tmp_path / "spool")
    found = {path.name: path.read_bytes() for path in (tmp_path / "spool").iterdir()}
    assert found == {path.name: path.read_bytes() for path in SPOOL.iterdir()} and len(found) == 2


def test_the_spool_of_the_fixture_can_be_read_and_appended_to(tmp_path: Path) -> None:
    folder = tmp_path / "spool"
    shutil.copytree(SPOOL, folder)
    spool = Spool(folder, 1 << 20)
    assert (len(spool), spool.lost_batches, spool.foreign_files) == (3, 0, [])
    spool.append(1_700_000_000_005, b"one more")
    for number, (timestamp_ms, payload) in enumerate([*BATCHES[2:], (1_700_000_000_005, b"one more")], 3):
        first = spool.oldest()
        assert first is not None and positional(first) == [number, timestamp_ms, payload.hex()]
        spool.acknowledge(first)
    assert spool.oldest() is None
    spool.close()


@pytest.mark.parametrize("magic", [b"ZCSPOOL1", b"ZCJOURN1"])
def test_records_on_disk(magic: bytes) -> None:
    segment = records.segment_header(magic, 4) + records.pack(4, 99, b"payload") + records.pack(5, 100, b"")
    found = [
        segment.hex(),
        positional(list(records.scan_records(segment, magic))),
        records.pack_cursor(3, 4).hex(),
    ]
    found.append(list(records.read_cursor(records.pack_cursor(3, 4) + records.pack_cursor(2, 9)) or ()))
    assert_matches(f"wires/records_{magic.decode().lower()}.json", found)
