"""The client's end of one connection to an agent: connects on demand, one request at a time."""

from __future__ import annotations

import asyncio
import secrets
import socket
import time

from tornado.iostream import IOStream, StreamClosedError

from oakkeel.authentication.framing import HELLO, MAX_RESPONSE_BYTES, REFUSED, FrameError, frame, read_frame
from oakkeel.authentication.mac import NONCE_BYTES, AuthenticationError, ClientAuthenticator, Key
from oakkeel.errors import OakkeelError


class LinkError(OakkeelError, OSError):
    """There is no response; the message says why."""


class AuthenticationRejectedError(LinkError):
    """The peer rejects our key, or could not authenticate itself."""


class AuthenticatedClient:
    """A connection to one agent, opened again after each error."""

    def __init__(self, address: tuple[str, int], key: Key) -> None:
        """Connect to `address` with the first request."""
        self.address, self.key = address, key
        self.stream: IOStream | None = None
        self.authenticator: ClientAuthenticator | None = None

    async def request(self, content: bytes, timeout: float | None = None) -> bytes:
        """Send a request and return the response. `timeout` in seconds.

        Raises LinkError: the request may have been executed all the same. The connection is closed then, so
        that a late response is never taken for that of the next request.
        """
        try:
            return await asyncio.wait_for(self._request(content), timeout)
        except AuthenticationError as error:
            self.close()
            raise AuthenticationRejectedError(str(error)) from error
        except (StreamClosedError, FrameError, TimeoutError, OSError) as error:
            self.close()
            if isinstance(error, LinkError):
                raise
            real = getattr(error, "real_error", None) or error
            raise LinkError(getattr(real, "strerror", None) or str(real) or "the link ended") from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def _request(self, content: bytes) -> bytes:
        if self.stream is None or self.authenticator is None or self.stream.closed():
            self.close()
            self.stream = IOStream(socket.socket(), max_buffer_size=MAX_RESPONSE_BYTES + 4)
            await self.stream.connect(self.address)
            self.stream.set_nodelay(True)
            hello = await read_frame(self.stream)
            if not hello.startswith(HELLO) or len(hello) != len(HELLO) + NONCE_BYTES:
                raise AuthenticationRejectedError("no agent of this version listens there")
            self.authenticator = ClientAuthenticator(
                self.key, hello[len(HELLO) :], lambda: secrets.token_bytes(NONCE_BYTES), time.time_ns
            )
        self.stream.write(frame(self.authenticator.sign(content)))
        response = await read_frame(self.stream, MAX_RESPONSE_BYTES)
        if response == REFUSED:
            raise AuthenticationRejectedError(f"it refuses key {self.key.ident}; its log says why")
        return self.authenticator.verify(response)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.stream:
            self.stream.close()
        self.stream = self.authenticator = None
