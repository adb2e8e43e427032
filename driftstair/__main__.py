"""The command line. With no subcommand it is the daemon: one node, told by the platform what to do."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from functools import partial


def freeze_gc() -> None:
    """What has been made by now stays; the collector need not look at it again."""
    gc.collect()
    gc.freeze()


def daemon(service_file: str = "") -> int:
    # Its default would end a process that is coming up. The file is looked at again once its handler stands.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import uvloop

    from driftstair.config import ConfigError, load, reload, stamp
    from driftstair.daemon import serve
    from driftstair.observability.log_stream import log_to_standard_error

    reread = partial(reload, os.environ)
    read = stamp(os.environ)
    log_to_standard_error()

    def has_changed() -> bool:
        """The configuration's file, since it was read."""
        return stamp(os.environ) != read

    try:
        config = load(os.environ)
    except ConfigError as problem:
        print(f"driftstair: {problem}", file=sys.stderr)
        return 2
    service_file = service_file or os.environ.get("DRIFTSTAIR_SERVICE", "")
    if not service_file:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(serve(config, reread, ready=freeze_gc, has_changed=has_changed))
    from driftstair.service.load import ServiceError  # not loaded without such a file
    from driftstair.service.service_file import ServiceFile

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            service = ServiceFile(service_file)
            return runner.run(
                serve(config, reread, ready=freeze_gc, service=service, has_changed=has_changed)
            )
    except ServiceError as problem:
        for one in problem.problems:
            print(f"driftstair: {one}", file=sys.stderr)
        return 2


def main() -> int:
    words = sys.argv[1:]
    if not words:
        return daemon()
    if words[0] == "--service" and len(words) == 2:
        return daemon(words[1])
    from driftstair.commands import run  # not loaded for the daemon

    return run(words)


if __name__ == "__main__":
    sys.exit(main())
