"""The settings, the keys and the replaceable parts that an agent is constructed from."""

from __future__ import annotations

import sys
from dataclasses import dataclass, field

from oakkeel.agent.processes import Processes
from oakkeel.agent.supervision_rules import SupervisionTimeouts, timeouts_from_settings
from oakkeel.authentication.mac import Key
from oakkeel.errors import OakkeelError
from oakkeel.settings.types import ControlPlaneSettings, FairSharingSettings, Fleet, HostSettings
from oakkeel.store.database import Database

NODE_PROGRAM = (sys.executable, "-m", "oakkeel")


class NoControlPlaneError(OakkeelError):
    """A part of the control plane was constructed for a fleet without a control plane."""


@dataclass(slots=True, frozen=True)
class AgentSettings:
    """The settings of one host's agent."""

    host: HostSettings
    timeouts: SupervisionTimeouts
    fair_sharing: FairSharingSettings | None = None
    fleet: Fleet | None = None

    @classmethod
    def of_host(cls, fleet: Fleet, name: str) -> AgentSettings:
        """The settings of the agent of host `name`. Raises SettingsError."""
        return cls(fleet.host(name), timeouts_from_settings(fleet.supervision), fleet.fairness, fleet)


@dataclass(slots=True, frozen=True)
class AgentKeys:
    """The keys that an agent reads from its files."""

    accepted: dict[str, Key]  # by key ID: keys of the senders whose requests the agent serves
    agents: dict[str, Key] = field(default_factory=dict)  # by host; empty: no control plane


@dataclass(slots=True, frozen=True)
class AgentParts:
    """The parts of an agent that access the host; a test may replace them."""

    store: Database | None = None  # None: opened in the state folder
    processes: type[Processes] = Processes
    program: tuple[str, ...] = NODE_PROGRAM


def control_plane_of(fleet: Fleet | None) -> ControlPlaneSettings:
    """The control plane settings of a fleet. Raises NoControlPlaneError."""
    if fleet is None or fleet.control_plane is None:
        raise NoControlPlaneError("this fleet has no control plane: name its voters in <keepers>")
    return fleet.control_plane
