"""`python -m oakkeel` runs a node, configured by environment variables and the file that they name.

With arguments, it runs one of the commands in `oakkeel.cli`.
"""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run a node, or the command line; return the exit code."""
    if sys.argv[1:]:
        return _run_command()
    # Signals are blocked until the node handles them: a signal must not end a node that is starting.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGINT, signal.SIGTERM))
    return _run_node()


def _run_command() -> int:
    """Run the command line, with libraries that a node must not load."""
    try:
        from oakkeel.cli.main import main as command_line
    except ImportError as error:
        print(f"oakkeel: the commands need the extra 'fleet' of this package: {error}", file=sys.stderr)
        return 2
    return int(command_line(prog_name="oakkeel"))


def _run_node() -> int:
    """Run a node; return the exit code."""
    import asyncio
    import os

    from oakkeel.node.configuration import NodeConfiguration, read_configuration
    from oakkeel.node_limits import LimitsError

    async def run(configuration: NodeConfiguration) -> None:
        from oakkeel.node.node import Node  # a malformed configuration fails before this is loaded

        await Node(configuration).run()

    try:
        asyncio.run(run(read_configuration(os.environ)))
    except (LimitsError, OSError) as error:
        print(f"oakkeel: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
