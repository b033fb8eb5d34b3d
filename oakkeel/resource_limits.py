"""Every size, count and time of the network code, in one type that is filled at start and passed down."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.units import MS, SECOND


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """Sizes, counts and times of the network code: times in nanoseconds, sizes in bytes.

    None of these decides whether a request is admitted; that is the admission controller's part.
    """

    # Given at start.
    sockets: int  # descriptors that the process may hold
    memory: int  # that the process may use
    stop_after: int  # from SIGTERM to SIGKILL

    # Buffers: all of one size; no array, line with its body, or field may be longer.
    buffer_size: int = 8192
    max_tokens: int = 16  # in one array; of a line, the rest is one token

    # Dispatchers.
    reserved_sockets: int = 32  # descriptors kept back for all but calls and dispatchers
    max_open_requests: int = 32  # on one connection
    max_body_size: int = 2048
    max_memory_kb: float = 2000.0  # that a request may declare
    max_clock_skew: int = 60 * SECOND  # between a request's timestamp and our clock
    max_client_timeout: int = 3600 * SECOND
    max_violations: int = 8  # requests on one connection that are malformed or that the engine does not know
    unsent_memory_share: float = 0.2  # of the memory, for answers that dispatchers leave unread
    read_pause: int = 5 * MS  # from one read of a connection to its next
    read_cpu_factor: int = 20  # times the CPU that parsing took, before the next read: bounds its share
    accepts_per_pass: int = 16  # new connections in one pass of the event loop
    new_connection_grace: int = 50 * MS  # since its accept: what it sent may not be read yet
    sweep_interval: int = 250 * MS  # between checks for overdue connections
    array_timeout: int = (
        2 * SECOND
    )  # from the accept to the first whole array, from an array's start to its end
    half_closed_poll: int = 20 * MS  # between checks whether a half-closed connection has closed both ways
    linger_timeout: int = SECOND  # from the shutdown of our side of a connection until we close it
    evicted_connections: int = 16  # that are closing because there is no room for them
    accept_retry: int = 50 * MS  # when no descriptor was left
    write_timeout: int = 10 * SECOND  # of one write to a dispatcher
    drain_notice_timeout: int = SECOND  # from `0 last` until we close an idle connection ourselves

    stop_margin: int = 30 * MS  # from the close of the last connections in a drain to the stop

    # The engine.
    engine_retry: int = 50 * MS  # from one connection attempt to the next
    engine_loss_window: int = 150 * MS  # a broken link may lose commands that are younger
    engine_timeout: int = 2 * SECOND  # without requested gauges, until the link is reconnected
    engine_restart_margin: int = SECOND  # start later than its earlier age allows by this: it has restarted
    engine_handover_timeout: int = 200 * MS  # for an old link to confirm that it has read everything
    gauges_timeout: int = 10 * MS  # for fresh gauges before an admission timer fires
    max_unconfirmed_commands: int = 8192  # before those that need no resend are pruned
    max_write_backlog: int = 8 * 1024 * 1024  # bytes that a link may leave unread

    timer_retry: int = SECOND  # after an error of ours in an admission timer

    # The catalogue.
    max_call_links: int = 64  # one call each, as far as they go
    call_idle_timeout: int = 500 * MS  # a peer may drop an idle link: one idle for longer is not used again
    call_reply_timeout: int = 200 * MS  # from a reply's first byte to its last
    max_surplus_replies: int = 4  # replies that no call waits for, while other calls do
    call_timeout_slack: int = 15 * MS  # beyond the deadline of a call, before we give it up ourselves

    # The directory.
    report_interval: int = 250 * MS  # one in four may be lost, and an entry expires after 3 s
    report_repeat_interval: int = 60 * MS  # after a change
    report_repeats: int = 3  # at that interval

    # The response cache, for duplicates.
    result_size: int = 16 * 1024  # a key and its result, at most
    results_memory_share: float = 0.25  # of the process's memory

    # Control links, where there are any.
    control_links: int = 4
    control_pause: int = 20 * MS  # from one message on a link to its next
    control_cpu_factor: int = 50  # times the CPU that a message took, before the next is read
    control_timeout: int = 2 * SECOND  # for the rest of a message, and for the write of an answer

    # The log.
    log_lines_per_second: int = 20
    metrics_interval: int = 10 * SECOND

    @property
    def max_connections(self) -> int:
        """Most connections of dispatchers at one time."""
        return max(1, self.sockets - self.reserved_sockets - self.max_call_links - self.evicted_connections)

    @property
    def max_links(self) -> int:
        """Most links to the engine and the catalogue at one time."""
        return 2 + self.max_call_links

    @property
    def max_buffers(self) -> int:
        """Most read buffers: some connections and links are closing while others open."""
        return 2 * (self.max_connections + self.evicted_connections + self.max_links)

    @property
    def max_unsent(self) -> int:
        """Bytes of answers that a dispatcher leaves unread: beyond this, nothing more is read from it."""
        return int(self.memory * self.unsent_memory_share) // self.max_connections

    @property
    def max_results(self) -> int:
        """Most idempotency keys retained at one time."""
        return max(1, int(self.memory * self.results_memory_share) // self.result_size)
