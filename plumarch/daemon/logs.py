"""Logging by loguru to standard error."""

import asyncio
import logging
import sys

from loguru import logger

FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {extra[part]: <9} {message}"


class ToLoguru(logging.Handler):
    """Forwards records of the standard logging module to loguru, httpx's at debug level."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forward one record, unless it reports a cancelled request."""
        if record.exc_info and isinstance(record.exc_info[1], asyncio.CancelledError):
            return
        quiet = record.name.startswith(("httpx", "httpcore"))
        level = "DEBUG" if quiet else record.levelname
        part = record.name.partition(".")[0]
        logger.bind(part=part).opt(exception=record.exc_info).log(level, record.getMessage())


def set_up(level: str, json_lines: bool) -> None:
    """Send all logs to standard error."""
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(
        sys.stderr,
        level=level,
        format=FORMAT,
        serialize=json_lines,
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[ToLoguru()], level=logging.DEBUG, force=True)
    for noisy in ("httpcore", "asyncio", "uvicorn.access"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
