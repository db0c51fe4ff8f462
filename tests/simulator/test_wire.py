"""The simulator's protocol: the documented example, every record, and malformed input."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from typing import Any

import pytest

from zincladder.routing import interface as api
from zincladder.simulator import wire
from zincladder.simulator.adapter import RouterHost, run

CACHE_ID = bytes.fromhex("0a124a075b1b")
SETTINGS: dict[str, Any] = {
    "az": 1,
    "categories": [
        {"deadline": 5.0, "effect": "idempotent", "keyScope": "all", "onTime": 0.6, "value": 2.0, "new": 1},
        {"deadline": 3.0, "effect": "deduplicated", "keyScope": "cell", "onTime": 0.2, "window": 5.0},
    ],
    "ceilings": {"attemptsCap": 6, "mayCancel": True, "maxRetryAfter": 0.5, "retryAfter": True},
    "domain": {
        "freshFor": [0.0, 20.0],
        "midKind": 1,
        "originKind": 2,
        "seatsByZone": [0, 3],
        "mayPassBy": True,
    },
    "invariants": {"coldFrom": 0.3, "warmUp": 14.0, "fallMultiple": 2.5, "overloadFor": 1.0},
    "replicasOfMe": 3,
    "weightSource": "nominal",
    "unheard_of": {"x": [1]},
}


def record(code: int, fields: bytes) -> bytes:
    return struct.pack("<BI", code, len(fields)) + fields


def frame(number: int, *records: bytes, clock: float = 1.0) -> bytes:
    body = struct.pack("<dI", clock, len(records)) + b"".join(records)
    return struct.pack("<II", number, len(body)) + body


def instance_started(instance: int = 3, settings: Any = None) -> bytes:
    text = json.dumps(SETTINGS if settings is None else settings).encode()
    return record(30, struct.pack("<IQI", instance, 9, len(text)) + text)


def endpoint_entry(endpoint_id: bytes, kind: int, zone: int, state: int = 1) -> bytes:
    return struct.pack("<HBfHdH", kind, state, 4.0, 0, 0.0, zone) + endpoint_id


def endpoints(*entries: bytes, instance: int = 3, mode: int = 4) -> bytes:
    return record(110, struct.pack("<IBQI", instance, mode, 1, len(entries)) + b"".join(entries))


def request_record(request: int = 1, deadline: float = 4.0, instance: int = 3) -> bytes:
    return record(50, struct.pack("<IQffBQBfHd", instance, request, 11.0, 641.0, 3, 77, 0, 3.0, 0, deadline))


def decoded(*records: bytes) -> tuple[wire.Record, ...]:
    (batch,) = wire.read_batches(io.BytesIO(frame(7, *records)))
    assert batch.number == 7 and batch.clock == 1.0
    return batch.records


def event(code: int, fields: bytes) -> api.Event:
    (got,) = decoded(record(code, struct.pack("<I", 3) + fields))
    assert isinstance(got, wire.RouterEvent) and got.instance == 3
    return got.event


def test_the_documented_example_of_a_query_is_decoded() -> None:
    text = "322c00000003000000c4913a5d72b809"
    text += "000000304100002044 01 640ad2557c3bf091 00 00004040 0000 cba145b6f34d2140"
    (got,) = decoded(bytes.fromhex(text.replace(" ", "")))
    assert isinstance(got, wire.RouterEvent)
    request = got.event
    assert isinstance(request, api.Request)
    assert (request.group, request.size_kb, request.part, request.request_class) == (11, 640.0, 3, 0)
    assert request.deadline == pytest.approx(8.6522, abs=1e-3) and not request.repeat and not request.write


def test_every_event_is_decoded() -> None:
    ended = struct.pack("<QH6sHdBBdB2f", 5, 1, CACHE_ID, 8, 0.25, 1, 8, 0.125, 2, 0.5, 1.0)
    assert event(40, ended) == api.AttemptEnded(
        5, 1, CACHE_ID, api.AttemptOutcome.MISS, 0.25, True, api.FillOutcome.SOURCE_MISS, 0.125, (0.5, 1.0)
    )
    assert event(20, struct.pack("<QHd", 9, 4, 0.5)) == api.Purged(9, 4, 0.5)
    assert event(20, struct.pack("<QHd", 0, 4, 0.5)) == api.Purged(None, 4, 0.5)
    assert event(70, struct.pack("<Q", 77)) == api.TimerFired(77)
    assert event(80, struct.pack("<Q", 5)) == api.ClientDisconnected(5)
    probed = struct.pack("<6sdHBf", CACHE_ID, 0.5, 1, 1, 0.25)
    assert event(100, probed) == api.ProbeEnded(CACHE_ID, api.AttemptOutcome.OK, 0.5, (0.25,))
    assert decoded(record(90, struct.pack("<I", 3))) == (wire.InstanceStopped(3),)
    (listed,) = decoded(endpoints(endpoint_entry(CACHE_ID, 2, 5, state=0)))
    assert isinstance(listed, wire.RouterEvent)
    endpoint = api.Endpoint(CACHE_ID, 2, 5, api.EndpointState.GONE, 4.0, 0, 0.0)
    assert listed.event == api.EndpointUpdate(api.UpdateKind.CACHED, 1, (endpoint,))


def test_events_that_affect_no_decision_are_validated_and_ignored() -> None:
    started, message = struct.pack("<IQH6sd", 3, 5, 1, CACHE_ID, 0.5), struct.pack("<IIH2s", 3, 2, 2, b"hi")
    assert decoded(record(10, message)) == (wire.IgnoredEvent(3, wire.PeerMessage(2, b"hi")),)
    assert decoded(record(60, started)) == (wire.IgnoredEvent(3, wire.AnswerStarted(5, 1, CACHE_ID, 0.5)),)
    for code, fields in ((10, message), (60, started)):
        for malformed in (fields[:-1], fields + b"x"):
            with pytest.raises(wire.WireError):
                decoded(record(code, malformed))
    host = RouterHost()
    (batch,) = wire.read_batches(
        io.BytesIO(frame(1, instance_started(), record(10, message), record(60, started)))
    )
    assert host.reply(batch)[8:] == b"" and not host.routers[3].pending


def test_settings_are_decoded_and_unknown_keys_ignored() -> None:
    (got,) = decoded(instance_started())
    assert isinstance(got, wire.InstanceStarted) and got.seed == 9
    s = got.settings
    assert (s.zone, s.routers, s.parent_kind, s.max_attempts) == (1, 3, 1, 6)
    assert s.classes[1].idempotency is api.Idempotency.WITH_KEY and s.classes[1].scope is api.Scope.CELL
    assert s.classes[1].fresh_seconds == 20.0 and s.weights_known
    assert s.cache_slow_start == api.SlowStart(0.3, 14.0, 2.5, 1.0)


def test_every_action_is_encoded() -> None:
    head = struct.pack("<IQ", 3, 5)
    expected: list[tuple[api.Action, int, bytes]] = [
        (api.Lookup(5, CACHE_ID), 10, head + CACHE_ID + struct.pack("<d", 0.0)),
        (api.Reject(5, 0.25), 20, head + struct.pack("<d", 0.25)),
        (api.Fail(5), 30, head),
        (api.Cancel(5, 2), 40, head + struct.pack("<H", 2)),
        (api.SetTimer(0.5, 77), 50, struct.pack("<IdQ", 3, 0.5, 77)),
        (api.Probe(CACHE_ID), 60, struct.pack("<I", 3) + CACHE_ID),
        (api.Subscribe(), 110, struct.pack("<IB", 3, 1)),
        (
            api.Fetch(5, CACHE_ID, b"origin", 2, 1.5, coalesce=True, renew=True),
            130,
            head + CACHE_ID + b"origin" + struct.pack("<BdBd", 2, 1.5, 9, 0.0),
        ),
    ]
    for action, code, fields in expected:
        assert wire.encode_action(3, action) == record(code, fields)
    assert wire.encode_instance_failed(3, "x") == record(100, struct.pack("<IH", 3, 1) + b"x")


def test_an_empty_batch_gets_an_empty_reply() -> None:
    data = bytes.fromhex("010000000c000000508d976e12d3204000000000")
    sink = io.BytesIO()
    run(io.BytesIO(data), sink)
    assert sink.getvalue() == bytes.fromhex("0100000000000000")


def test_a_request_is_answered_with_an_attempt_end_to_end() -> None:
    sink = io.BytesIO()
    fleet = endpoints(
        endpoint_entry(CACHE_ID, 0, 1), endpoint_entry(b"parent", 1, 0), endpoint_entry(b"origin", 2, 0)
    )
    run(io.BytesIO(frame(1, instance_started(), fleet) + frame(2, request_record())), sink)
    reply = sink.getvalue()[8:]
    assert struct.unpack_from("<I", reply)[0] == 2 and reply[8] == 130
    assert CACHE_ID + b"parent" in reply


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (frame(1)[:5], "inside a frame header"),
        (frame(1, request_record())[:-3], "input ends inside batch 1"),
        (struct.pack("<II", 1, 1 << 30), "impossible length"),
        (struct.pack("<II", 1, 4) + b"abcd", "too short for its header"),
        (frame(1, record(77, b"")), "unknown event code 77"),
        (frame(1, record(70, b"123")), "'alarm' is too short"),
        (frame(1, record(80, bytes(13))), "'gone' has 1 bytes too many"),
        (frame(1, record(40, bytes(18) + b"\xff" + bytes(40))), "bytes too many"),
        (frame(1, endpoints(b"")), "'members' is too short"),
        (frame(1, endpoints(endpoint_entry(CACHE_ID, 0, 1, state=9))), "unknown code 9"),
        (frame(1, instance_started(settings=[])), "settings cannot be read"),
        (frame(1, instance_started(settings={"categories": [{}]})), "0].onTime' is missing"),
        (struct.pack("<IIdI", 1, 12, 1.0, 2), "ends before record 0 of 2"),
        (struct.pack("<IIdIB", 1, 13, 1.0, 0, 0), "1 bytes after its last record"),
    ],
)
def test_malformed_input_raises_an_error_that_names_the_fault(data: bytes, message: str) -> None:
    with pytest.raises(wire.WireError, match=message.replace("(", r"\(")):
        run(io.BytesIO(data), io.BytesIO())


def test_the_process_exits_with_a_message_and_status_2_on_malformed_input() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "zincladder.simulator.adapter"],
        input=frame(1, record(77, b"")),
        capture_output=True,
        check=False,
    )
    assert done.returncode == 2 and done.stdout == b""
    assert done.stderr.decode().splitlines() == ["zincladder: malformed input: unknown event code 77"]
    clean = subprocess.run(
        [sys.executable, "-m", "zincladder.simulator.adapter"], input=b"", capture_output=True, check=False
    )
    assert clean.returncode == 0 and clean.stderr == b""


def test_an_exception_in_one_router_is_reported_for_its_instance_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = RouterHost()

    def reply(*records: bytes) -> bytes:
        (batch,) = wire.read_batches(io.BytesIO(frame(1, *records)))
        return host.reply(batch)[8:]

    fleet = [
        endpoints(endpoint_entry(CACHE_ID, 0, 1), endpoint_entry(b"origin", 2, 0), instance=i) for i in (3, 4)
    ]
    reply(instance_started(3), instance_started(4), *fleet)

    def fail(*_: object) -> None:
        raise ValueError("no such thing")

    monkeypatch.setattr(host.routers[3], "handle", fail)
    answer = reply(request_record(instance=3), request_record(instance=4))
    assert answer[0] == 100 and b"ValueError in fail" in answer and b"no such thing" in answer
    assert answer.count(CACHE_ID) == 1 and set(host.routers) == {4}


def test_the_router_of_a_stopped_instance_is_removed() -> None:
    host = RouterHost()
    (batch,) = wire.read_batches(
        io.BytesIO(frame(1, instance_started(3), record(90, struct.pack("<I", 3)), request_record()))
    )
    assert host.reply(batch)[8:] == b"" and host.routers == {}
