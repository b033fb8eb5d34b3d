"""The latest heartbeat of each agent, as the leader keeps it. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.disruption.messages import Heartbeat


@dataclass(slots=True, eq=False)
class AgentSession:
    """The latest heartbeat of one agent."""

    incarnation: int
    sequence: int
    last_heartbeat_at: int  # by the leader's monotonic clock, in nanoseconds
    serving: dict[str, bool]  # by target
    in_flight: dict[str, str]  # requests in flight, by target that drains
    echoed_at: int  # time of this leader's latest response that the agent received; 0: none


def new_session(now: int, heartbeat: Heartbeat, leader_nonce: int) -> AgentSession:
    """Return the session that a heartbeat begins or continues."""
    nonce, echoed_at = heartbeat.echoed_timestamp
    return AgentSession(
        heartbeat.incarnation,
        heartbeat.sequence,
        now,
        {report.name: report.serving for report in heartbeat.targets},
        {report.name: report.in_flight for report in heartbeat.targets if report.in_flight},
        echoed_at if nonce == leader_nonce else 0,
    )


def is_outdated(session: AgentSession, latest_session: AgentSession) -> bool:
    """Whether the leader already has a later heartbeat of the agent.

    Of two incarnations of an agent, the one that echoes the later response of the leader is the later: a
    delayed heartbeat of a killed agent must not count as a heartbeat of its successor.
    """
    if session.incarnation != latest_session.incarnation:
        return session.echoed_at <= latest_session.echoed_at
    return session.sequence < latest_session.sequence
