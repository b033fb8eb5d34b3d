"""The asking end of one link to an agent: connected when it is needed, one question at a time."""

from __future__ import annotations

import asyncio
import secrets
import socket
import time

from tornado.iostream import IOStream, StreamClosedError

from oakkeel.authentication.framing import HELLO, MAX_RESPONSE_BYTES, REFUSED, FrameError, frame, read_frame
from oakkeel.authentication.mac import NONCE, AuthenticationError, ClientAuthenticator, Key


class LinkError(OSError):
    """No answer; the text says why."""


class AuthenticationRejectedError(LinkError):
    """The other side takes nothing from us, or is not who we ask."""


class AuthenticatedClient:
    def __init__(self, address: tuple[str, int], key: Key) -> None:
        self.address, self.key = address, key
        self.stream: IOStream | None = None
        self.sender: ClientAuthenticator | None = None

    async def ask(self, content: bytes, timeout: float | None = None) -> bytes:
        """Raises LinkError. What was asked may have been taken all the same, and the link begins anew: an
        answer that comes late must not be taken for that of the next question. `timeout` in seconds."""
        try:
            return await asyncio.wait_for(self._ask(content), timeout)
        except AuthenticationError as error:
            self.close()
            raise AuthenticationRejectedError(str(error)) from None
        except (StreamClosedError, FrameError, TimeoutError, OSError) as error:
            self.close()
            if isinstance(error, LinkError):
                raise
            real = getattr(error, "real_error", None) or error
            raise LinkError(getattr(real, "strerror", None) or str(real) or "the link ended") from None
        except asyncio.CancelledError:
            self.close()
            raise

    async def _ask(self, content: bytes) -> bytes:
        if self.stream is None or self.sender is None or self.stream.closed():
            self.close()
            self.stream = IOStream(socket.socket(), max_buffer_size=MAX_RESPONSE_BYTES + 4)
            await self.stream.connect(self.address)
            self.stream.set_nodelay(True)
            hello = await read_frame(self.stream)
            if not hello.startswith(HELLO) or len(hello) != len(HELLO) + NONCE:
                raise AuthenticationRejectedError("no agent of this version listens there")
            self.sender = ClientAuthenticator(
                self.key, hello[len(HELLO) :], lambda: secrets.token_bytes(NONCE), time.time_ns
            )
        self.stream.write(frame(self.sender.seal(content)))
        answer = await read_frame(self.stream, MAX_RESPONSE_BYTES)
        if answer == REFUSED:
            raise AuthenticationRejectedError(f"it refuses key {self.key.ident}; its log says why")
        return self.sender.open(answer)

    def close(self) -> None:
        if self.stream:
            self.stream.close()
        self.stream = self.sender = None
