"""Logging of all processes of the project: one JSON object per line, on standard error."""

from __future__ import annotations

import logging
import sys

import structlog


def configure_logging() -> None:
    """Configures structlog for this process. A program calls it once, before it logs anything."""
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
