"""Every size, count and time of the network code, in one type that is filled at start and handed down."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
SECOND = 1000 * MS


@dataclass(slots=True, frozen=True)
class Bounds:
    """Times are nanoseconds, sizes bytes. None of these decides what becomes of an exchange."""

    # Told at the start.
    sockets: int  # descriptors that the process may hold
    memory: int  # that the process may take
    stop_after: int  # SIGKILL comes so long after SIGTERM

    # Buffers: one size, for whatever is read; no array, line with its body or field may be longer.
    buffer_size: int = 8192
    words: int = 16  # in one array; of a line, what follows is one word

    # Dispatchers.
    spare_sockets: int = 32  # descriptors kept back for the links, the log and the loop
    open_exchanges: int = 32  # on one connection
    unread_share: float = 0.2  # of the memory, for answers that dispatchers leave unread
    last_wait: int = SECOND  # from `0 last` until we close a connection with nothing open ourselves

    # The engine.
    engine_retry: int = 50 * MS
    gauges_wait: int = 10 * MS  # for fresh gauges before a timer of the decisions is told
    commands: int = 8192  # unconfirmed, before those that need not be sent again are looked for
    backlog: int = 8 * 1024 * 1024  # bytes that a link may leave unread

    timer_retry: int = SECOND  # after an error of ours in a timer of the decisions

    # The catalogue.
    call_links: int = 4
    call_idle: int = 8 * SECOND  # the catalogue closes after 10 s: we do it first
    call_slack: int = 15 * MS  # beyond the time of a call, before we give it up ourselves

    # The directory.
    pulse: int = 500 * MS

    # What is kept for repeats.
    kept_size: int = 16 * 1024  # a kept key and its result, at the most
    kept_share: float = 0.25  # of the process's memory

    # The log.
    log_lines: int = 20  # a second
    measures: int = 10 * SECOND  # between lines of measures

    @property
    def connections(self) -> int:
        """Of dispatchers, at one time."""
        return max(1, self.sockets - self.spare_sockets)

    @property
    def unread(self) -> int:
        """Bytes of answers that a dispatcher leaves unread: from there on we read no more from it."""
        return int(self.memory * self.unread_share) // self.connections

    @property
    def kept(self) -> int:
        """Keys remembered at one time."""
        return max(1, int(self.memory * self.kept_share) // self.kept_size)
