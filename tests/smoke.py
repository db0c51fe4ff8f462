"""Runs the `sim` command of deploy/balancer.toml the way the operators do and checks its reply."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

from tests.test_wire import STORE, born, endpoints, entry, frame, query


def main() -> int:
    """0 if the command starts, decides one request and ends with its input."""
    root = Path(__file__).resolve().parent.parent
    deploy = tomllib.loads((root / "deploy/balancer.toml").read_text())
    fleet = endpoints(entry(STORE, 0, 1), entry(b"parent", 1, 0), entry(b"origin", 2, 0))
    data = frame(1, born(), fleet) + frame(2, query())
    done = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]], cwd=root, input=data, capture_output=True, check=False
    )
    good = done.returncode == 0 and STORE + b"parent" in done.stdout and not done.stderr
    print("smoke test of sim:", "ok" if good else f"FAILED {done}")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
