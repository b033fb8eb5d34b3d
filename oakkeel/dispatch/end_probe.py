"""The question whether a dispatcher that sends no more still reads its answers."""

from __future__ import annotations

from oakkeel.dispatch import codec
from oakkeel.dispatch.answer_writer import AnswerWriter
from oakkeel.dispatch.socket_state import PeerState, peer_state
from oakkeel.stream_buffers import HalfClosingStream


class EndProbe:
    """Finds out whether a dispatcher has closed its connection, though what it has sent is unread.

    One that has closed both directions looks like one that has only ended its side, until something is
    written to it.
    """

    __slots__ = ("_stream", "_writer", "has_written")

    def __init__(self, stream: HalfClosingStream, writer: AnswerWriter) -> None:
        """Probe the other side of `stream` by writes of `writer`."""
        self._stream = stream
        self._writer = writer
        self.has_written = False  # `0 last` was written after the dispatcher had ended its side

    def has_dispatcher_left(self) -> bool:
        """Return whether the dispatcher reads no more; writes `0 last` once its end is known."""
        if self._stream.closed():
            return True
        state = peer_state(self._stream.socket)
        if state is PeerState.HALF_CLOSED and not self.has_written:
            self.has_written = True
            self._writer.write(codec.DRAIN_NOTICE)
            self._writer.flush()
            return self._stream.closed() or peer_state(self._stream.socket) is PeerState.GONE
        return state is PeerState.GONE
