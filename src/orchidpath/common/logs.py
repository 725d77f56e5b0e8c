"""Structured logs: one JSON object per line, on standard error."""

import logging
import sys
from typing import Any, cast

import structlog

LOG_LEVELS = ("debug", "info", "warning", "error")
"""Names of the log levels, lowest first."""

Logger = structlog.typing.FilteringBoundLogger
"""Logger with bound fields, called as ``logger.info("event_name", field=value)``."""


def configure_logs(level: str, *, node_id: str, role: str) -> None:
    """Configure the logs of this process.

    Parameters
    ----------
    level
        One of :data:`LOG_LEVELS`; entries of a lower level are dropped.
    node_id, role
        Fields that are added to every line.
    """
    numeric_level = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(numeric_level),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(node_id=node_id, role=role)


def get_logger(component: str, **fields: Any) -> Logger:
    """Return a logger that adds ``component`` and ``fields`` to every line."""
    return cast(Logger, structlog.get_logger(component=component, **fields))
