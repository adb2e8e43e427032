"""The command line. Without a subcommand it runs the daemon: one node, configured by the platform."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from functools import partial

SWITCH_INTERVAL_S = 0.0005  # for how long a thread that reads files may hold up the event loop


def freeze_gc() -> None:
    """Excludes all objects allocated so far from garbage collection; they live as long as the process."""
    gc.collect()
    gc.freeze()


def daemon(service_file: str = "") -> int:
    """Runs the node until it is told to end; returns the exit status."""
    # The default action would end a starting process. Once the handler is set, the file is checked again.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    import uvloop

    from driftstair.config import ConfigError, file_stamp, load, reload
    from driftstair.daemon import serve
    from driftstair.observability.log_stream import log_to_standard_error

    reload_config = partial(reload, os.environ)
    loaded_stamp = file_stamp(os.environ)
    log_to_standard_error()

    def has_changed() -> bool:
        """Whether the configuration file has changed since it was read."""
        return file_stamp(os.environ) != loaded_stamp

    try:
        config = load(os.environ)
    except ConfigError as problem:
        print(f"driftstair: {problem}", file=sys.stderr)
        return 2
    service_file = service_file or os.environ.get("DRIFTSTAIR_SERVICE", "")
    if not service_file:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(serve(config, reload_config, ready=freeze_gc, has_changed=has_changed))
    from driftstair.service.load import ServiceError  # loaded only with a service file
    from driftstair.service.service_file import ServiceFile

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            service = ServiceFile(service_file)
            return runner.run(
                serve(config, reload_config, ready=freeze_gc, service=service, has_changed=has_changed)
            )
    except ServiceError as problem:
        for message in problem.problems:
            print(f"driftstair: {message}", file=sys.stderr)
        return 2


def main() -> int:
    """Runs the daemon or a subcommand; returns the exit status."""
    arguments = sys.argv[1:]
    if not arguments:
        return daemon()
    if arguments[0] == "--service" and len(arguments) == 2:
        return daemon(arguments[1])
    from driftstair.commands import run  # not loaded for the daemon

    return run(arguments)


if __name__ == "__main__":
    sys.exit(main())
