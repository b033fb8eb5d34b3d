"""Every size, count and time of the network code, in one type that is filled at start and handed down."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
SECOND = 1000 * MS


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """Times are nanoseconds, sizes bytes. None of these decides what becomes of an exchange."""

    # Told at the start.
    sockets: int  # descriptors that the process may hold
    memory: int  # that the process may take
    stop_after: int  # SIGKILL comes so long after SIGTERM

    # Buffers: one size, for whatever is read; no array, line with its body or field may be longer.
    buffer_size: int = 8192
    words: int = 16  # in one array; of a line, what follows is one word

    # Dispatchers.
    spare_sockets: int = 32  # descriptors kept back for all but calls and dispatchers
    open_exchanges: int = 32  # on one connection
    body: int = 2048
    need: float = 2000.0  # KB that an exchange may ask for
    stamp: int = 60 * SECOND  # that a stamp may lie from our clock
    patience: int = 3600 * SECOND  # that a caller may wait
    faults: int = 8  # exchanges on one connection that can't be read or that the engine does not know
    unread_share: float = 0.2  # of the memory, for answers that dispatchers leave unread
    read_pause: int = 5 * MS  # from one read of a connection to its next
    read_share: int = 20  # times the CPU that parsing took, before it is read again: its share of the loop
    accepts: int = 16  # new connections in one pass of the loop
    young: int = 50 * MS  # since its accept: what it sent may not be read yet
    sweep: int = 250 * MS  # between looks at what connections leave undone
    silent: int = 2 * SECOND  # from the accept to the first whole array, and from an array's start to its end
    half_closed: int = 20 * MS  # between looks at whether one that sends no more has closed both ways
    linger: int = SECOND  # from the end of our side of a connection until we close it
    ending: int = 16  # connections that had to make room, or had none, and end
    accept_again: int = 50 * MS  # where no descriptor was left
    untaken: int = 10 * SECOND  # that a write to a dispatcher may take
    last_wait: int = SECOND  # from `0 last` until we close a connection with nothing open ourselves

    stop_room: int = 30 * MS  # from the end of what is left in a drain to the stop

    # The engine.
    engine_retry: int = 50 * MS  # from one try to connect to the next
    engine_loss: int = 150 * MS  # a break may take commands with it that are younger
    engine_silent: int = 2 * SECOND  # without gauges that were asked for, until the link is made anew
    engine_anew: int = SECOND  # later than it can have begun by what it said before: it began anew
    engine_swap: int = 200 * MS  # for an old link to tell that it has read all
    gauges_wait: int = 10 * MS  # for fresh gauges before a timer of the decisions is told
    commands: int = 8192  # unconfirmed, before those that need not be sent again are looked for
    backlog: int = 8 * 1024 * 1024  # bytes that a link may leave unread

    timer_retry: int = SECOND  # after an error of ours in a timer of the decisions

    # The catalogue.
    call_links: int = 64  # one call each, as far as they go
    call_idle: int = 500 * MS  # a link may be closed early or forgotten: one idle for longer takes no call
    call_partial: int = 200 * MS  # from a reply's first byte to its last
    call_surplus: int = 4  # replies that nobody waits for, while others are
    call_slack: int = 15 * MS  # beyond the time of a call, before we give it up ourselves

    # The directory.
    pulse: int = 250 * MS  # one in four may be lost, and an entry lapses after 3 s
    pulse_again: int = 60 * MS  # after a change, which is told
    pulse_times: int = 3  # so often at this pace

    # The result cache, for repeats.
    result_size: int = 16 * 1024  # a key and its result, at the most
    results_share: float = 0.25  # of the process's memory

    # Control links, where there are any.
    control_links: int = 4
    control_pause: int = 20 * MS  # from one message on a link to its next
    control_share: int = 50  # times the CPU that a message took, before the next is read
    control_half: int = 2 * SECOND  # for the rest of a message, and for an answer to be taken

    # The log.
    log_lines: int = 20  # a second
    measures: int = 10 * SECOND  # between lines of measures

    @property
    def connections(self) -> int:
        """Of dispatchers, at one time."""
        return max(1, self.sockets - self.spare_sockets - self.call_links - self.ending)

    @property
    def links(self) -> int:
        """To the engine and the catalogue, at one time."""
        return 2 + self.call_links

    @property
    def buffers(self) -> int:
        """To read into: some connections and links end while others begin."""
        return 2 * (self.connections + self.ending + self.links)

    @property
    def unread(self) -> int:
        """Bytes of answers that a dispatcher leaves unread: from there on we read no more from it."""
        return int(self.memory * self.unread_share) // self.connections

    @property
    def results(self) -> int:
        """Keys remembered at one time."""
        return max(1, int(self.memory * self.results_share) // self.result_size)
