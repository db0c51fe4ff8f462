"""Runs the `sim` command of deploy/balancer.toml the way the operators do and checks its reply."""

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
    """0 if the command starts, decides one request and ends with its input."""
    root = Path(__file__).resolve().parent.parent
    deploy = tomllib.loads((root / "deploy/balancer.toml").read_text())
    fleet = endpoints(
        endpoint_entry(CACHE_ID, 0, 1), endpoint_entry(b"parent", 1, 0), endpoint_entry(b"origin", 2, 0)
    )
    data = frame(1, instance_started(), fleet) + frame(2, request_record())
    done = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]], cwd=root, input=data, capture_output=True, check=False
    )
    good = done.returncode == 0 and CACHE_ID + b"parent" in done.stdout and not done.stderr
    print("smoke test of sim:", "ok" if good else f"FAILED {done}")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
