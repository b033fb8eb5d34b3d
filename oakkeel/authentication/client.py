"""The client's side of a connection to an agent: it connects on demand and sends one request at a time."""

from __future__ import annotations

import asyncio
import secrets
import socket
import time

from tornado.iostream import IOStream, StreamClosedError

from oakkeel.authentication.framing import (
    GREETING_PREFIX,
    LENGTH_BYTES,
    MAX_RESPONSE_BYTES,
    REJECTION,
    FrameError,
    encode_frame,
    read_frame,
)
from oakkeel.authentication.mac import NONCE_BYTES, AuthenticationError, ClientAuthenticator, Key
from oakkeel.errors import OakkeelError


class LinkError(OakkeelError, OSError):
    """No response was received; the request may have been executed."""


class AuthenticationRejectedError(LinkError):
    """The peer rejected the client's key, or could not authenticate itself."""


class AuthenticatedClient:
    """A connection to one agent; after an error the next request opens it again."""

    def __init__(self, address: tuple[str, int], key: Key) -> None:
        """Store the address and the key; the first request opens the connection."""
        self.address = address
        self.key = key
        self.stream: IOStream | None = None
        self.authenticator: ClientAuthenticator | None = None

    async def request(self, content: bytes, timeout: float | None = None) -> bytes:
        """Send a request and return the response. `timeout` is in seconds.

        Raises LinkError, and closes the connection before that, so that a late response is not taken for the
        response to the next request.
        """
        try:
            async with asyncio.timeout(timeout):  # `wait_for` may lose a cancellation, before Python 3.12
                return await self._request(content)
        except AuthenticationError as error:
            self.close()
            raise AuthenticationRejectedError(str(error)) from error
        except (StreamClosedError, FrameError, TimeoutError, OSError) as error:
            self.close()
            if isinstance(error, LinkError):
                raise
            cause = getattr(error, "real_error", None) or error
            raise LinkError(
                getattr(cause, "strerror", None) or str(cause) or "the connection was closed"
            ) from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def _request(self, content: bytes) -> bytes:
        if self.stream is None or self.authenticator is None or self.stream.closed():
            self.close()
            self.stream = IOStream(socket.socket(), max_buffer_size=MAX_RESPONSE_BYTES + LENGTH_BYTES)
            self.authenticator = await self._connect(self.stream)
        self.stream.write(encode_frame(self.authenticator.sign(content)))
        response = await read_frame(self.stream, MAX_RESPONSE_BYTES)
        if response == REJECTION:
            raise AuthenticationRejectedError(
                f"the agent rejected key {self.key.key_id}; the cause is in the agent's log"
            )
        return self.authenticator.verify(response)

    async def _connect(self, stream: IOStream) -> ClientAuthenticator:
        """Connect and read the agent's challenge. Raises AuthenticationRejectedError."""
        await stream.connect(self.address)
        stream.set_nodelay(True)
        hello = await read_frame(stream)
        if not hello.startswith(GREETING_PREFIX) or len(hello) != len(GREETING_PREFIX) + NONCE_BYTES:
            raise AuthenticationRejectedError("the listener is not an agent of this version")
        return ClientAuthenticator(
            self.key, hello[len(GREETING_PREFIX) :], lambda: secrets.token_bytes(NONCE_BYTES), time.time_ns
        )

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.stream:
            self.stream.close()
        self.stream = None
        self.authenticator = None
