"""`python -m oakkeel.simulator_adapter` reads batches from standard input, and writes a reply to each."""

from __future__ import annotations

import gc
import sys

from oakkeel.simulator_adapter.table import InstanceTable
from oakkeel.simulator_adapter.wire import WireError, read_batch

GC_THRESHOLDS = (50_000, 20, 50)  # by generation; requests seldom form cycles


def main() -> int:
    """Answer batches until the input ends. Return 2 for a malformed frame, 1 for a closed output."""
    gc.freeze()  # the modules live as long as the process: the collector need not scan them
    gc.set_threshold(*GC_THRESHOLDS)
    input_stream = sys.stdin.buffer
    output_stream = sys.stdout.buffer
    table = InstanceTable()
    try:
        while (batch := read_batch(input_stream)) is not None:
            output_stream.write(table.handle(batch))
            output_stream.flush()
    except (WireError, UnicodeDecodeError) as error:
        print(f"oakkeel: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
