"""The limits of the network code, in one type that is filled at the start of a node and passed on."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.units import MS, SECOND

MAX_ENGINE_LINKS = 2  # a link may be closing while its successor opens
BUFFERS_PER_STREAM = 2  # a connection or a link may be closing while its successor opens


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """Sizes, counts and times of the network code: times in nanoseconds, sizes in bytes.

    These limits do not decide whether a request is admitted: the admission controller does.
    """

    # Given at the start.
    sockets: int  # descriptors that the process may hold open
    memory: int  # bytes that the process may use
    stop_after: int  # time from SIGTERM to SIGKILL

    # Buffers of one size: no array, line with its body, or field may be longer.
    buffer_size: int = 8192
    max_tokens: int = 16  # in one array or line; the rest of a longer line is one token

    # Dispatchers.
    reserved_sockets: int = 32  # descriptors that are for neither calls nor dispatchers
    max_open_requests: int = 32  # on one connection
    # Of requests that have run and must not run again: those of some 20 s at the highest load.
    max_recent_request_ids: int = 4096
    max_body_size: int = 2048
    max_memory_kb: float = 2000.0  # declared by one request
    max_clock_skew: int = 60 * SECOND  # between the timestamp of a request and the clock
    max_client_timeout: int = 3600 * SECOND
    max_violations: int = 8  # requests on one connection that are malformed or that the engine does not know
    unsent_memory_share: float = 0.2  # of the memory, for unsent answers
    read_cpu_factor: int = 20  # pause before the next read, in multiples of the CPU time of read and parsing
    discard_pause: int = 50 * MS  # minimum pause between reads of a connection whose input is dropped
    # In one pass of the event loop, for all connections together: a longer pass would delay timers, answers
    # and the engine's notices.
    socket_events_per_pass: int = 16
    turns_per_pass: int = 4  # each handles the input of one connection
    arrays_per_turn: int = 8
    new_connection_cost: int = MS  # CPU time that a new connection counts as having used
    accepts_per_pass: int = 16
    accepts_when_saturated: int = 2  # while open connections have more to read than one pass handles
    accept_time_per_pass: int = 2 * MS  # CPU time
    new_connection_grace: int = 50 * MS  # from the accept; received bytes may not be read yet
    sweep_interval: int = 250 * MS  # between the checks of timeouts
    array_timeout: int = 2 * SECOND  # from the accept to the first array, from an array's start to its end
    half_closed_poll: int = 20 * MS  # between checks whether a half-closed connection is fully closed
    linger_timeout: int = SECOND  # from the shutdown of our side of a connection to its close
    max_evicted_connections: int = 16  # connections over the limit that are closing
    accept_retry_delay: int = 50 * MS  # after an accept without a free descriptor or buffer
    write_timeout: int = 10 * SECOND  # for one write to a dispatcher
    drain_notice_timeout: int = SECOND  # from `0 last` to the close of an idle connection by the node

    stop_margin: int = 30 * MS  # from the close of the last connections in a drain to SIGKILL

    # The engine.
    engine_retry_delay: int = 50 * MS  # from one connection attempt to the next
    engine_loss_window: int = 50 * MS  # commands read this shortly before a loss of the link may be lost
    engine_timeout: int = 2 * SECOND  # for a greeting or an answer with gauges; then the link reconnects
    engine_restart_margin: int = SECOND  # minimum shift of the start time that proves a restart
    engine_handover_timeout: int = 200 * MS  # for the earlier engine to confirm that it has read all commands
    gauges_timeout: int = 10 * MS  # of the wait for fresh gauges before an admission timer
    max_unconfirmed_commands: int = 8192  # at the limit, commands that need no resend are dropped
    max_write_backlog: int = 8 * 1024 * 1024  # bytes, on one link

    timer_retry_delay: int = SECOND  # after an internal error in an admission timer

    # The catalogue.
    max_call_links: int = 64  # with one call each; further calls share the links
    call_idle_timeout: int = 500 * MS  # shorter than the timeout of the peer
    call_reply_timeout: int = 200 * MS  # from the first byte of a reply to its last
    max_unmatched_replies: int = 4  # replies without a call, on one link
    call_timeout_slack: int = 15 * MS  # after the deadline of a call, for the peer to report it first

    # The directory.
    report_interval: int = 250 * MS  # an entry expires after 3 s, and one report in four may be lost
    report_repeat_interval: int = 60 * MS
    report_repeats: int = 3  # reports at the short interval, after a change

    # The response cache, for duplicates.
    result_size: int = 16 * 1024  # maximum bytes of a key and its result
    results_memory_share: float = 0.25  # of the memory, for retained results

    # Control links.
    max_control_links: int = 4
    control_pause: int = 20 * MS  # from one message on a link to the next
    control_cpu_factor: int = 50  # pause before the next message, in multiples of the CPU time of one
    control_timeout: int = 2 * SECOND  # for the rest of a message, and for the write of a response

    # The log.
    log_lines_per_second: int = 20
    metrics_interval: int = 10 * SECOND

    @property
    def max_connections(self) -> int:
        """The maximum number of dispatchers' connections at one time."""
        return max(
            1, self.sockets - self.reserved_sockets - self.max_call_links - self.max_evicted_connections
        )

    @property
    def max_links(self) -> int:
        """The maximum number of links to the engine and the catalogue at one time."""
        return MAX_ENGINE_LINKS + self.max_call_links

    @property
    def max_buffers(self) -> int:
        """The maximum number of read buffers: connections and links may be closing while others open."""
        return BUFFERS_PER_STREAM * (self.max_connections + self.max_evicted_connections + self.max_links)

    @property
    def max_unsent_bytes(self) -> int:
        """The maximum number of bytes of unsent answers on a connection that is still read."""
        return int(self.memory * self.unsent_memory_share) // self.max_connections

    @property
    def max_results(self) -> int:
        """The maximum number of idempotency keys retained at one time."""
        return max(1, int(self.memory * self.results_memory_share) // self.result_size)
