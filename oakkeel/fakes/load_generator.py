"""A load generator as a process of its own: `python -m oakkeel.fakes.load_generator RATE SEED`.

Its two dispatchers keep their pace whatever the process that reads them is busy with. Lines of JSON: commands
on standard input, one report for each request that has ended on standard output, and a summary as the last
line. The end of the input stops it as `stop` does. Times are monotonic seconds, which all processes share.
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
    """What the generator does from now on; what is left out stays as it is."""

    addresses: dict[str, Address] | None = None  # the nodes to send to
    rate: float | None = None  # requests a second of each dispatcher
    stop: bool = False


class RequestReport(msgspec.Struct, tag="request"):
    """What became of one request: the node's word for it, `lost` or `late`."""

    id: str
    node: str
    sent_at: float
    ended_at: float
    outcome: str


class LoadSummary(msgspec.Struct, tag="summary"):
    """The requests sent by outcome, and by how many seconds one was sent late at most."""

    counts: dict[str, int]
    max_send_delay: float


class ReportingDispatcher(Dispatcher):
    """Reports each request when it ends."""

    def __init__(
        self,
        number: int,
        addresses: Callable[[], dict[str, Address]],
        rate: float,
        seed: int,
        report: Callable[[RequestReport], None],
    ) -> None:
        """`report` takes the report of each request as it ends."""
        super().__init__(number, addresses, rate, seed)
        self._report = report
        self._ids: dict[SentRequest, str] = {}

    def request_sent(self, request_id: str, sent: SentRequest) -> None:
        """Remember the ID until the request ends."""
        self._ids[sent] = request_id

    def request_ended(self, sent: SentRequest, outcome: str) -> str:
        """Count the request, and report it as it was counted."""
        outcome = super().request_ended(sent, outcome)
        now = asyncio.get_running_loop().time()  # the monotonic clock
        self._report(RequestReport(self._ids.pop(sent), sent.node, sent.at, now, outcome))
        return outcome


class LoadGenerator:
    """Two dispatchers that follow commands until they are stopped."""

    def __init__(self, rate: float, seed: int, report: Callable[[RequestReport], None]) -> None:
        """`rate` in requests a second of each dispatcher; sending starts with the first addresses."""
        self._addresses: dict[str, Address] = {}
        self._started = False
        self._dispatchers = [
            ReportingDispatcher(number, lambda: self._addresses, rate, seed + number, report)
            for number in range(1, DISPATCHERS + 1)
        ]

    def apply(self, command: LoadCommand) -> None:
        """Follow a command; `stop` is left to the caller."""
        if command.addresses is not None:
            self._addresses = command.addresses
        for dispatcher in self._dispatchers:
            if command.rate is not None:
                dispatcher.rate = command.rate
            if not self._started and self._addresses:
                dispatcher.start()
        self._started = self._started or bool(self._addresses)

    async def stop(self) -> LoadSummary:
        """Send no more, wait for the answers that are due, and sum up."""
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
    transport.set_write_buffer_limits(high=0)  # `drain` waits until all is written
    output = asyncio.StreamWriter(transport, protocol, None, loop)
    encoder = msgspec.json.Encoder()
    decoder = msgspec.json.Decoder(LoadCommand)

    def report(item: RequestReport | LoadSummary) -> None:
        output.write(encoder.encode(item) + b"\n")  # buffered: a slow reader doesn't hold up what is sent

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
