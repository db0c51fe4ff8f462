"""How every process of the project logs: one JSON object a line, on standard error."""

from __future__ import annotations

import logging
import sys

import structlog


def configure_logging() -> None:
    """Set up structlog for this process; a program calls it once, before its first line."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
