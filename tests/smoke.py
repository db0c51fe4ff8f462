"""Runs the `sim` command of deploy/balancer.toml as operators do, and checks its reply."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

from tests.simulator.test_wire import (
    CACHE_ID,
    endpoint_entry,
    endpoints,
    frame,
    instance_started,
    request_record,
)


def main() -> int:
    """Returns 0 if the command starts, decides one request and exits at the end of its input, else 1."""
    root = Path(__file__).resolve().parent.parent
    deploy = tomllib.loads((root / "deploy/balancer.toml").read_text())
    endpoint_records = endpoints(
        endpoint_entry(CACHE_ID, 0, 1), endpoint_entry(b"parent", 1, 0), endpoint_entry(b"origin", 2, 0)
    )
    input_frames = frame(1, instance_started(), endpoint_records) + frame(2, request_record())
    done = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]], cwd=root, input=input_frames, capture_output=True, check=False
    )
    succeeded = done.returncode == 0 and CACHE_ID + b"parent" in done.stdout and not done.stderr
    print("smoke test of sim:", "ok" if succeeded else f"FAILED {done}")
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(main())
