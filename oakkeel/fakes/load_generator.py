"""A load generator in a separate process: `python -m oakkeel.fakes.load_generator RATE SEED`.

Its two dispatchers send at their rate even while the parent process is busy. The process reads commands from
standard input. On standard output it writes a report for each request that has ended, and a summary as the
last message. Each message is a line of JSON. The end of the input stops the generator as the command `stop`
does. Times are monotonic seconds, which all processes of a machine share.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from collections.abc import Callable

import msgspec

from oakkeel.fakes.dispatcher import Dispatcher, SentRequest
from oakkeel.fakes.node_connection import Address

DISPATCHERS = 2


class LoadCommand(msgspec.Struct, omit_defaults=True):
    """A change of the generator's parameters; omitted fields stay unchanged."""

    addresses: dict[str, Address] | None = None  # the nodes to send to
    rate: float | None = None  # requests a second, for each dispatcher
    stop: bool = False


class RequestReport(msgspec.Struct, tag="request"):
    """The outcome of a request: the outcome that the node sent, `lost` or `late`."""

    id: str
    node: str
    sent_at: float
    ended_at: float
    outcome: str


class LoadSummary(msgspec.Struct, tag="summary"):
    """The number of requests by outcome, and the maximum delay in seconds of sending a request."""

    counts: dict[str, int]
    max_send_delay: float


class ReportingDispatcher(Dispatcher):
    """A dispatcher that reports each request when it ends."""

    def __init__(
        self,
        number: int,
        addresses: Callable[[], dict[str, Address]],
        rate: float,
        seed: int,
        report: Callable[[RequestReport], None],
    ) -> None:
        """`report` is called with the report of each request when it ends."""
        super().__init__(number, addresses, rate, seed)
        self._report = report
        self._ids: dict[SentRequest, str] = {}

    def on_request_sent(self, request_id: str, sent: SentRequest) -> None:
        """Keep the request ID until the request ends."""
        self._ids[sent] = request_id

    def on_request_end(self, sent: SentRequest, outcome: str) -> str:
        """Count the request, and report it with the counted outcome."""
        outcome = super().on_request_end(sent, outcome)
        now = asyncio.get_running_loop().time()  # the monotonic clock
        self._report(RequestReport(self._ids.pop(sent), sent.node, sent.sent_at, now, outcome))
        return outcome


class LoadGenerator:
    """Two dispatchers that are controlled by commands."""

    def __init__(self, rate: float, seed: int, report: Callable[[RequestReport], None]) -> None:
        """`rate` in requests a second, for each dispatcher; sending starts with the first addresses."""
        self._addresses: dict[str, Address] = {}
        self._has_started = False
        self._dispatchers = [
            ReportingDispatcher(number, lambda: self._addresses, rate, seed + number, report)
            for number in range(1, DISPATCHERS + 1)
        ]

    def apply(self, command: LoadCommand) -> None:
        """Apply a command, except `stop`, which the caller handles."""
        if command.addresses is not None:
            self._addresses = command.addresses
        for dispatcher in self._dispatchers:
            if command.rate is not None:
                dispatcher.rate = command.rate
            if not self._has_started and self._addresses:
                dispatcher.start()
        self._has_started = self._has_started or bool(self._addresses)

    async def stop(self) -> LoadSummary:
        """Stop sending, wait for outstanding responses, and return the summary."""
        for dispatcher in self._dispatchers:
            await dispatcher.stop()
        counts: Counter[str] = sum((dispatcher.counts for dispatcher in self._dispatchers), Counter())
        return LoadSummary(dict(counts), max(dispatcher.max_send_delay for dispatcher in self._dispatchers))


async def run(rate: float, seed: int) -> None:
    """Read commands from standard input until `stop` or its end."""
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    transport, protocol = await loop.connect_write_pipe(asyncio.streams.FlowControlMixin, sys.stdout)
    transport.set_write_buffer_limits(high=0)  # `drain` waits until the buffer is empty
    output = asyncio.StreamWriter(transport, protocol, None, loop)
    encoder = msgspec.json.Encoder()
    decoder = msgspec.json.Decoder(LoadCommand)

    def report(message: RequestReport | LoadSummary) -> None:
        # The output is buffered, so that a slow reader does not delay requests.
        output.write(encoder.encode(message) + b"\n")

    generator = LoadGenerator(rate, seed, report)
    while line := await commands.readline():
        command = decoder.decode(line)
        if command.stop:
            break
        generator.apply(command)
    report(await generator.stop())
    await output.drain()
    output.close()


if __name__ == "__main__":
    asyncio.run(run(float(sys.argv[1]), int(sys.argv[2])))
