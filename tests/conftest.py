"""Fixtures and logging setup shared by all tests."""

from __future__ import annotations

import pytest
import structlog

# Formats tracebacks as the daemon does: the coloured default blocks the event loop for half a second.
structlog.configure(processors=[structlog.processors.format_exc_info, structlog.processors.LogfmtRenderer()])


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}  # as the daemon runs
