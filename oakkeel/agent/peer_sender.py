"""Sends Raft envelopes to one other replica, over one connection."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec

from oakkeel.agent import messages
from oakkeel.authentication.client import AuthenticatedClient, LinkError
from oakkeel.log import EventLog, describe_error
from oakkeel.raft.messages import Envelope
from oakkeel.units import MS, SECOND

MAX_QUEUED_ENVELOPES = 256
MAX_REQUEST_BYTES = 96 * 1024  # of envelopes in one request
PEER_REQUEST_TIMEOUT_NS = 700 * MS  # the envelopes of a request that times out are lost
PEER_RECONNECT_DELAY_NS = 100 * MS


class PeerTransport:
    """The queue of envelopes to one peer, and the task that sends the envelopes."""

    def __init__(
        self,
        name: str,
        link: AuthenticatedClient,
        on_response: Callable[[str, list[Envelope]], None],
        log: EventLog,
    ) -> None:
        """Start the task that sends envelopes; `on_response` is called with each response's envelopes."""
        self.name = name
        self.link = link
        self.on_response = on_response
        self.log = log
        self.queue: deque[Envelope] = deque(maxlen=MAX_QUEUED_ENVELOPES)
        self.not_empty = asyncio.Event()  # set while the queue holds envelopes
        self.task = asyncio.ensure_future(self._send())

    def enqueue(self, envelope: Envelope) -> None:
        """Queue an envelope; if the queue is full, the oldest is dropped."""
        self.queue.append(envelope)
        self.not_empty.set()

    def dequeue(self) -> list[Envelope]:
        """Remove and return as many envelopes as one request may hold."""
        envelopes: list[Envelope] = []
        size = 0
        while self.queue:
            size += len(msgspec.msgpack.encode(self.queue[0]))
            if envelopes and size > MAX_REQUEST_BYTES:
                break
            envelopes.append(self.queue.popleft())
        if not self.queue:
            self.not_empty.clear()
        return envelopes

    async def _send(self) -> None:
        while True:
            await self.not_empty.wait()
            envelopes = self.dequeue()
            if not envelopes:
                continue
            try:
                if self.link.stream is None:
                    # Authenticates the link: the peer accepts long requests only after that.
                    await self._request([])
                await self._request(envelopes)
            except (LinkError, msgspec.MsgspecError):
                # The envelopes are lost: Raft sends them again.
                await asyncio.sleep(PEER_RECONNECT_DELAY_NS / SECOND)
            except Exception as error:  # a fault in handling one response must not end this task
                self.log.error("peer_response_failed", target=self.name, error=describe_error(error))
                await asyncio.sleep(PEER_RECONNECT_DELAY_NS / SECOND)

    async def _request(self, envelopes: list[Envelope]) -> None:
        request = messages.encode(messages.PeerEnvelopesRequest(envelopes))
        content = await self.link.request(request, PEER_REQUEST_TIMEOUT_NS / SECOND)
        response = messages.decode_response(content)
        if isinstance(response, messages.PeerEnvelopesResponse):
            self.on_response(self.name, response.envelopes)

    def close(self) -> None:
        """Cancel the sending task and close the connection."""
        self.task.cancel()
        self.link.close()
