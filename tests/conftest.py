"""Fixtures of all tests."""

from __future__ import annotations

import pytest
import structlog

# As the daemon logs: a traceback drawn in colours takes half a second of the event loop.
structlog.configure(processors=[structlog.processors.format_exc_info, structlog.processors.LogfmtRenderer()])


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}  # as the daemon runs
