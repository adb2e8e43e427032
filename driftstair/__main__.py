"""The command line. With no subcommand it is the daemon: one node, told by the platform what to do."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import sys
from functools import partial


def settle() -> None:
    """What has been made by now stays; the collector need not look at it again."""
    gc.collect()
    gc.freeze()


def daemon() -> int:
    import uvloop

    from driftstair.config import ConfigError, load, reload
    from driftstair.daemon import serve

    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        config = load(os.environ)
    except ConfigError as problem:
        print(f"driftstair: {problem}", file=sys.stderr)
        return 2
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(serve(config, partial(reload, os.environ), ready=settle))


def main() -> int:
    if len(sys.argv) > 1:
        from driftstair.commands import run  # not loaded for the daemon

        return run(sys.argv[1:])
    return daemon()


if __name__ == "__main__":
    sys.exit(main())
