"""The program: arguments, logging and exit status of one front, or of a command."""

from __future__ import annotations

import sys

# structlog imports rich where it is installed, for tracebacks in colours that the daemon does not write: 4 MB
# of the 32 that it may have, and 70 ms of each start. The commands, which need it, import it later.
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
# Collections of the cyclic garbage collector by generation: fewer than by default, as each one is a pause.
GC_THRESHOLDS = (5000, 20, 20)
log = structlog.get_logger()


def main() -> int:
    """Run a front, or the command that the arguments name.

    Returns the exit status: 0 after an orderly stop, 2 for a configuration that cannot be used.
    """
    if len(sys.argv) > 1:  # a command; the front itself takes no arguments
        from zincladder.cli import main as command

        command(prog_name="zincladder")
    configure_logging()
    try:
        config = configuration.load()
        operator = configuration.load_operator(config.names)
        read_known_events(config)
    except configuration.ConfigError as error:
        return _reject(error)
    gc.freeze()  # what lives as long as the process is not looked at again, and the rest less often
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        run_process(config, operator)
    except BaseExceptionGroup as group:
        config_errors, others = group.split(configuration.ConfigError)
        if config_errors is None or others is not None:
            raise
        return _reject(next(_leaves(config_errors)))
    return EXIT_OK


def _reject(error: BaseException) -> int:
    log.error("bad configuration", reason=str(error))
    return EXIT_BAD_CONFIGURATION


def _leaves(group: BaseExceptionGroup[BaseException]) -> Iterator[BaseException]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaves(error)
        else:
            yield error


if __name__ == "__main__":
    sys.exit(main())
