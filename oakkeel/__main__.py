"""`python -m oakkeel`: one node, told what it needs by its variables and the file that they name."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

from oakkeel.limits import LimitsError
from oakkeel.node.start import Start, read_start


def main() -> int:
    if sys.argv[1:]:
        print("usage: PROXY_CONFIG=FILE python -m oakkeel", file=sys.stderr)
        return 2
    hangups: list[int] = []  # SIGHUP must not end a node that is just starting
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
    try:
        start = read_start(os.environ)
        asyncio.run(_run(start, hangups))
    except (LimitsError, OSError) as error:
        print(f"oakkeel: {error}", file=sys.stderr)
        return 2
    return 0


async def _run(start: Start, hangups: list[int]) -> None:
    from oakkeel.node.assembly import Node  # a bad start fails before anything else is loaded

    await Node(start).run(bool(hangups))


if __name__ == "__main__":
    sys.exit(main())
