"""Compares published names with fixtures, since users' dashboards, scripts and files depend on them.

The names are those of metrics, alerts, replies, commands, exit codes, and keys of files.
"""

from __future__ import annotations

import json
import re
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import click
import msgspec
import msgspec.inspect
import pytest
import yaml
from click.testing import CliRunner

from tests.support.golden import assert_matches
from tests.support.routing import FLEET, settings
from zincladder.admission.connection_admission import ConnectionAdmission
from zincladder.admission.descriptor_budget import ELASTIC_POOLS, FIXED_POOLS, DescriptorBudget
from zincladder.admission.interface import RequestBounds
from zincladder.admission.model import AdmissionLimits, Offense, PriorityLane, RejectionReason
from zincladder.admission.source_admission import SourceAdmission
from zincladder.cli import main
from zincladder.config import Config, PolicyConfig, TasksConfig, parse_config
from zincladder.config.operator_tables import TABLES, RemoteWriteTable
from zincladder.config.replica import LeaseTable, ReplicaTable, parse_replica_config
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.consensus.model import Membership
from zincladder.consensus.server import ReplicaServer
from zincladder.consensus.store import ReplicaStore
from zincladder.control.readiness import Readiness
from zincladder.control.statistics import front_statistics
from zincladder.control.status_calls import StatusCalls
from zincladder.core.answers import AnswerKind
from zincladder.core.attempt import AbortReason
from zincladder.core.attempt_end import EndReason
from zincladder.core.engine import Core
from zincladder.core.request_classes import RequestClasses
from zincladder.metrics import front_metrics
from zincladder.metrics.exposition import Sample
from zincladder.metrics.registry import Registry
from zincladder.metrics.replica import NAMES as REPLICA_METRIC_NAMES
from zincladder.metrics.replica import ReplicaRegistry
from zincladder.policy.host import PolicyLeaderService
from zincladder.policy.lease_client import FleetPolicy, PolicyHooks
from zincladder.routing import interface as api
from zincladder.tasks.host import TaskLeaderService
from zincladder.tasks.runner import TaskRunner

ROOT = Path(__file__).resolve().parent.parent
REPLICAS = {"r1": "127.0.0.1:1"}
pytestmark = pytest.mark.anyio


def fleet_policy() -> FleetPolicy:
    return FleetPolicy(PolicyConfig("g", REPLICAS), "n0", PolicyHooks(lambda _: (), lambda _: ""))


def task_runner() -> TaskRunner:
    return TaskRunner(TasksConfig("g", REPLICAS, ()), "n0", {}, dict)


def counting_core() -> Core:
    """A core in which every event that it counts has occurred once."""
    core = Core(settings(), 1, None, classes=RequestClasses(("video", "page"), settings().classes))  # type: ignore[arg-type]
    core.update_endpoints(api.UpdateKind.FULL, 1, FLEET)
    core.statistics.retain_classes(("video", "page"), ())
    member = FLEET[0].id
    for end in EndReason:
        core.counts["attempts", end.value] += 1
        core.counts["probes", end.value] += 1
        core.counts["client_ends", end.value] += 1
        core.statistics.record_ended(member, end)
        core.statistics.record_health_check(member, end, 0.5, (1.0,), 1.0)
    for reason in AbortReason:
        core.counts["held_back", reason.value] += 1
    for group in sorted(front_metrics.COUNTERS):
        core.counts[group, "one"] += 1
    for kind in AnswerKind:
        core.statistics.record_answer("page", kind.value)
    core.statistics.record_started(member, 2.0, "page")
    return core


def series(samples: Iterator[Sample]) -> list[str]:
    """The names and labels of the samples, without values."""
    return [s.name + "{" + ",".join(f"{k}={v}" for k, v in s.labels) + "}" for s in samples]


def test_names_and_labels_of_a_fronts_metrics() -> None:
    core = counting_core()
    policy, tasks = fleet_policy(), task_runner()
    found: dict[str, Any] = {}
    for name, admission in (
        (
            "by source",
            SourceAdmission(AdmissionLimits(), RequestBounds(8, 8), DescriptorBudget(64, ELASTIC_POOLS), 1),
        ),
        ("by connection", ConnectionAdmission(RequestBounds(8, 8), DescriptorBudget(64, FIXED_POOLS, own=0))),
    ):
        for reason in RejectionReason:
            admission.counters.rejected_connections[reason.value] = 1
            admission.counters.rejected_requests[reason.value] = 1
        registry = Registry(
            core, "n0", lambda: True, admission, lambda: 2, lambda: policy.figures(), lambda: tasks.figures()
        )
        found[name] = series(registry.samples())
        found[f"{name}, types and help"] = [line for line in registry.text().splitlines() if line[0] == "#"]
    found["names"] = sorted(front_metrics.NAMES)
    assert_matches("published/front_metrics.json", found)


async def test_names_and_labels_of_a_replicas_metrics(tmp_path: Path) -> None:
    table = {"group": "g", "name": "r1", "listen": "127.0.0.1:0", "directory": str(tmp_path / "r1")}
    timing = {"heartbeat_ms": 12, "election_ms": 50}
    config = parse_replica_config({"keeper": table | timing | {"members": {"r1": "127.0.0.1:1"}}})
    store = ReplicaStore(config.directory, config.group, config.name, Membership(config.founders))
    replica = ReplicaServer(config, store)
    lease = config.lease
    lease_timing = LeaseTiming(lease.seconds, lease.renew_s, lease.drift, lease.check_s, lease.clear_s,
                               lease.least, lease.patient_s, lease.act_s)  # fmt: skip
    policy_service, task_service = (
        PolicyLeaderService(replica, lease_timing),
        TaskLeaderService(replica, lease_timing),
    )
    registry = ReplicaRegistry(replica, policy_service, task_service)
    found = {"follows": series(registry.samples())}
    async with anyio.create_task_group() as tasks:
        await tasks.start(replica.run)
        tasks.start_soon(policy_service.run)
        tasks.start_soon(task_service.run)
        with anyio.fail_after(10):
            while {sample.name for sample in registry.samples()} != REPLICA_METRIC_NAMES:
                await anyio.sleep(0.01)
        found["leads"] = series(registry.samples())
        found["types and help"] = [line for line in registry.text().splitlines() if line[0] == "#"]
        tasks.cancel_scope.cancel()
    store.close()
    found["names"] = sorted(REPLICA_METRIC_NAMES)
    assert_matches("published/replica_metrics.json", found)


def test_alert_rules() -> None:
    groups = yaml.safe_load((ROOT / "deploy/alerts.yml").read_text())["groups"]
    rules = [
        [rule["alert"], " ".join(rule["expr"].split()), rule.get("for")]
        for g in groups
        for rule in g["rules"]
    ]
    assert_matches("published/alerts.json", rules)


def test_replies_of_the_control_address() -> None:
    core = counting_core()
    ready, settled, stopping = [0], [False], [True]
    missing = [""]
    readiness = Readiness(
        lambda: ready[0], lambda: settled[0], lambda: stopping[0], policy_missing=lambda: missing[0]
    )
    sections = {"policy": fleet_policy().figures, "duty": task_runner().figures}
    calls = StatusCalls(readiness.missing, lambda: front_statistics(core, sections))
    found = {"stopping": calls.answer(b"READY")}
    stopping[0] = False
    found["no member"] = calls.answer(b"READY")
    ready[0] = 1
    found["not settled"] = calls.answer(b"READY")
    settled[0] = True
    found["ready"] = calls.answer(b"READY")
    missing[0] = fleet_policy().not_ready_reason()
    found["no policy"] = calls.answer(b"READY\r")
    found["unknown"] = calls.answer(b"NO SUCH CALL AS THIS ONE IS")
    found["statistics"] = re.sub(rb"=\d+\n", b"=\n", calls.answer(b"STATS"))
    found["statistics of a front alone"] = re.sub(
        rb"=\d+\n", b"=\n", StatusCalls(str, lambda: front_statistics(core, {})).answer(b"STATS")
    )
    assert_matches("published/operators_address.json", {k: v.decode().split("\n") for k, v in found.items()})


def test_lanes_reasons_and_descriptors_by_their_published_names() -> None:
    found = {
        "lanes": [[lane.name.lower(), int(lane)] for lane in PriorityLane],
        "reasons": [reason.value for reason in RejectionReason],
        "offenses": [offense.value for offense in Offense],
        "uses": [use.value for use in ELASTIC_POOLS],
    }
    assert_matches("published/admission.json", found)


PARAMETER_KEYS = ("param_type_name", "opts", "secondary_opts", "type", "required", "nargs", "multiple",
                  "default", "is_flag", "count", "hidden")  # fmt: skip

# The command line ---------------------------------------------------------------------------------


def command_interface(command: click.Command) -> dict[str, Any]:
    """The options and arguments of a command, and its subcommands."""
    found: dict[str, Any] = {"parameters": []}
    for parameter in command.params:
        assert parameter.name is not None
        info = parameter.to_info_dict()
        properties = {key: info[key] for key in PARAMETER_KEYS if info.get(key)}
        if "default" in properties:
            properties["default"] = getattr(properties["default"], "__name__", repr(properties["default"]))
        found["parameters"].append(properties)
    if isinstance(command, click.Group):
        found["commands"] = {
            name: command_interface(inner) for name, inner in sorted(command.commands.items())
        }
    return found


def test_commands_with_their_options() -> None:
    assert_matches("published/commands.json", command_interface(main))


COMMAND_LINES = (
    "", "--help", "--version", "unheard-of", "run x", "check", "check /nowhere", "check example/config.json",
    "check deploy/operator.toml example/config.json", "check pyproject.toml", "ready", "ready nowhere",
    "ready 127.0.0.1:1", "ready 127.0.0.1:1 --wait soon", "stats", "stats nowhere", "stats 127.0.0.1:1",
    "admission", "admission top", "admission --socket /nowhere top",
    "admission --socket /nowhere top --most 0",
    "admission --socket /nowhere show x", "admission --socket /nowhere block x", "admission block",
    "admission --socket /nowhere unblock x", "admission --socket /nowhere trust x", "keep", "replica",
    "keepers", "keepers status", "replicas", "replicas status", "duties", "duties status", "tasks",
    "tasks status", "policy", "policy status", "policy show", "policy set /nowhere",
)  # fmt: skip


def test_exit_codes_of_commands(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    monkeypatch.delenv("ZINCLADDER_OPERATOR", raising=False)
    found = {line: CliRunner().invoke(main, line.split()).exit_code for line in COMMAND_LINES}
    assert_matches("published/exit_codes.json", found)


def test_exit_code_of_a_front_with_an_invalid_configuration(tmp_path: Path) -> None:
    found = []
    for environ in ({}, {"RELAY_CONFIG": "/nowhere"}):
        ended = subprocess.run(
            [sys.executable, "-m", "zincladder"], env=environ, cwd=ROOT, capture_output=True, text=True
        )
        line = json.loads(ended.stderr)
        found.append([ended.returncode, line["level"], ended.stdout])
    assert found == [[2, "error", ""]] * 2


def test_exit_code_of_a_replica_without_its_file() -> None:
    # The command runs in a process of its own, since it configures logging for the whole process.
    ended = subprocess.run(
        [sys.executable, "-m", "zincladder", "keep", "/nowhere"], cwd=ROOT, capture_output=True
    )
    assert ended.returncode == 1


# Files --------------------------------------------------------------------------------------------


def fields_of(kind: msgspec.inspect.Type) -> Any:
    """Describes the values of a field of a file: the keys of a table, or else the type and its bounds."""
    if isinstance(kind, msgspec.inspect.Metadata):
        return fields_of(kind.type)
    if isinstance(kind, msgspec.inspect.StructType):
        assert kind.forbid_unknown_fields
        return {f.encode_name: [f.required, _default(f), fields_of(f.type)] for f in kind.fields}
    if isinstance(kind, msgspec.inspect.ListType):
        return ["list", kind.min_length, kind.max_length, fields_of(kind.item_type)]
    if isinstance(kind, msgspec.inspect.DictType):
        return ["map", fields_of(kind.key_type), fields_of(kind.value_type)]
    if isinstance(kind, msgspec.inspect.UnionType):
        return ["one of", *map(fields_of, kind.types)]
    return repr(kind)


def _default(field: msgspec.inspect.Field) -> str:
    if field.default_factory is not msgspec.NODEFAULT:
        return repr(field.default_factory())
    return "" if field.default is msgspec.NODEFAULT else repr(field.default)


def test_keys_of_the_operators_file() -> None:
    found = {name: fields_of(msgspec.inspect.type_info(kind)) for name, kind in TABLES.items()}
    assert fields_of(msgspec.inspect.type_info(RemoteWriteTable)) == found["remote_write"]
    assert_matches("published/operators_file.json", found)


def test_keys_of_a_replicas_file() -> None:
    tables = {"keeper": ReplicaTable, "lease": LeaseTable}
    found = {name: fields_of(msgspec.inspect.type_info(kind)) for name, kind in tables.items()}
    assert_matches("published/replicas_file.json", found)


class KeyRecorder(dict[str, Any]):
    """A configuration object that records the path of each key that is read."""

    def __init__(self, data: dict[str, Any], keys_read: dict[str, None], path: str = "") -> None:
        super().__init__(
            {
                key: self._wrap(value, keys_read, f"{path}.{key}" if path else key)
                for key, value in data.items()
            }
        )
        self._keys_read, self._path = keys_read, path

    @classmethod
    def _wrap(cls, value: Any, keys_read: dict[str, None], path: str) -> Any:
        if isinstance(value, dict):
            return cls(value, keys_read, path)
        if isinstance(value, list):
            return [cls._wrap(item, keys_read, f"{path}[]") for item in value]
        return value

    def _record(self, key: str) -> None:
        self._keys_read[f"{self._path}.{key}" if self._path else key] = None

    def get(self, key: str, default: Any = None) -> Any:
        self._record(key)
        return super().get(key, default)

    def __getitem__(self, key: str) -> Any:
        self._record(key)
        return super().__getitem__(key)

    def __contains__(self, key: object) -> bool:
        self._record(str(key))
        return super().__contains__(key)


def test_keys_of_the_fronts_configuration() -> None:
    from tests.config.test_reading import FULL

    keys_read: dict[str, None] = {}
    assert isinstance(parse_config(KeyRecorder(FULL, keys_read)), Config)
    assert_matches("published/configuration.json", sorted(keys_read))
