"""`python -m oakkeel`: one node, told what it needs by its variables and the file that they name.

With words after it, one of the commands in `oakkeel.cli`.
"""

from __future__ import annotations

import signal
import sys


def main() -> int:
    if sys.argv[1:]:
        return _command()
    # Nobody hears a signal yet: it waits until the node does, and must not end one that is just starting.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGINT, signal.SIGTERM))
    return _node()


def _command() -> int:
    """Words make it a command line, with libraries that a node does not need."""
    try:
        from oakkeel.cli.main import main as commands
    except ImportError as error:
        print(f"oakkeel: commands need the group 'fleet' of this package: {error}", file=sys.stderr)
        return 2
    return int(commands(prog_name="oakkeel"))


def _node() -> int:
    import asyncio
    import os

    from oakkeel.node.configuration import NodeConfiguration, read_configuration
    from oakkeel.node_limits import LimitsError

    async def run(start: NodeConfiguration) -> None:
        from oakkeel.node.node import Node  # a bad start fails before anything else is loaded

        await Node(start).run()

    try:
        asyncio.run(run(read_configuration(os.environ)))
    except (LimitsError, OSError) as error:
        print(f"oakkeel: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
