"""Entry point: runs one front, or a command of the command line, and sets the exit status."""

from __future__ import annotations

import sys

# structlog imports rich, if it is installed, to print coloured tracebacks. The daemon prints none, and the
# import costs 4 MB of its 32 MB of memory and 70 ms at each start. So rich is hidden from structlog here; the
# commands, which need it, import it later.
sys.modules.setdefault("rich", None)  # type: ignore[arg-type]

import gc
from collections.abc import Iterator

import structlog

from zincladder import config as configuration
from zincladder.net.known_events import read_known_events
from zincladder.support.logging_setup import configure_logging
from zincladder.wiring.process import run_process

if sys.modules["rich"] is None:
    del sys.modules["rich"]

EXIT_OK, EXIT_BAD_CONFIGURATION = 0, 2
# Thresholds of the three generations of the cyclic garbage collector. They are higher than the defaults,
# because each collection pauses the process.
GC_THRESHOLDS = (5000, 20, 20)
log = structlog.get_logger()


def main() -> int:
    """Runs a front, or the command that the arguments name.

    Returns the exit status: 0 after an orderly stop, 2 if the configuration is invalid.
    """
    if len(sys.argv) > 1:  # the front itself takes no arguments, so this is a command
        from zincladder.cli import main as command

        command(prog_name="zincladder")
    configure_logging()
    try:
        config = configuration.load()
        operator = configuration.load_operator(config.names)
        read_known_events(config)
    except configuration.ConfigError as error:
        return _report_config_error(error)
    gc.freeze()  # exclude the objects allocated so far, which live as long as the process, from collections
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        run_process(config, operator)
    except BaseExceptionGroup as group:
        config_errors, others = group.split(configuration.ConfigError)
        if config_errors is None or others is not None:
            raise
        return _report_config_error(next(_errors_in(config_errors)))
    return EXIT_OK


def _report_config_error(error: BaseException) -> int:
    log.error("bad configuration", reason=str(error))
    return EXIT_BAD_CONFIGURATION


def _errors_in(group: BaseExceptionGroup[BaseException]) -> Iterator[BaseException]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _errors_in(error)
        else:
            yield error


if __name__ == "__main__":
    sys.exit(main())
