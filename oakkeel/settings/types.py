"""Types of the settings of a fleet."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.errors import OakkeelError
from oakkeel.units import MS, SECOND

# One voter is for trials. An even number of voters tolerates no more failures than the next lower odd number.
VOTER_COUNTS = (1, 3, 5)


class SettingsError(OakkeelError, ValueError):
    """The settings are invalid; the message has one line for each error."""


@dataclass(slots=True, frozen=True)
class KeyFile:
    """The ID, path and expiry time of an operator's key; the file has only the secret."""

    key_id: str
    path: str
    expires: int  # Unix time in nanoseconds from which the key is invalid; 0: never


@dataclass(slots=True, frozen=True)
class Operator:
    """A person or program that uses the command line."""

    name: str
    may_act: bool  # may submit orders; otherwise may only view
    keys: tuple[KeyFile, ...]


@dataclass(slots=True, frozen=True)
class InstanceSettings:
    """One node that an agent supervises."""

    name: str
    config_path: str  # path of the node's JSON configuration
    listen: str  # overrides the address of the configuration, unless empty
    log_format: str  # log format: console or json
    downstream: tuple[str, ...] = ()  # names of the services that the node depends on


@dataclass(slots=True, frozen=True)
class HostSettings:
    """One agent and its instances."""

    name: str
    site: str
    agent_address: tuple[str, int]  # address of the agent: host name and port
    state_folder: str  # path of the agent's state folder
    max_unavailable: int  # maximum number of unavailable instances: the host's share of the site's budget
    instances: tuple[InstanceSettings, ...]
    key_path: str = ""  # path of the agent's key file


@dataclass(slots=True, frozen=True)
class Service:
    """A downstream service that instances depend on; agents watch it, and never start or stop it."""

    name: str
    kind: str
    address: tuple[str, int]
    host: str  # name of the host whose agent watches the service


@dataclass(slots=True, frozen=True)
class ControlPlaneSettings:
    """The additional settings of a fleet with a replicated control plane."""

    initial_voters: tuple[str, ...]  # the initial voters
    max_unavailable: int  # maximum number of unavailable instances of the fleet at one time
    max_unavailable_by_kind: dict[str, int]  # maximum number of unavailable services at one time, by kind
    services: tuple[Service, ...]


@dataclass(slots=True, frozen=True)
class ClientSettings:
    """Settings of the requests from the command line to agents. Times are in nanoseconds."""

    deadline: int = 1000 * MS  # time in which all agents must respond
    hedge: int = 250 * MS  # time without a response after which a request is sent a second time
    tries: int = 3  # maximum number of attempts for each agent


@dataclass(slots=True, frozen=True)
class FairSharingSettings:
    """The key and weights by which nodes share capacity fairly, and the limits of what they track."""

    flow_key: tuple[str, ...]  # names of the request fields that identify a flow, the outer level first
    weights: tuple[tuple[str, float], ...]  # names of flows and their weights
    tracked_flows: int = 256
    max_reservations: int = 1024
    half_life: int = 4 * SECOND  # age at which demand counts half, in nanoseconds
    has_snapshot: bool = True  # whether nodes write snapshots of their fair sharing state

    def node_settings(self, snapshot: str) -> dict[str, object]:
        """Return the JSON object that a node reads; `snapshot` is the path of its snapshot file."""
        return {
            "by": list(self.flow_key),  # the fields that identify a flow
            "weights": dict(self.weights),
            "places": self.tracked_flows,  # the maximum number of tracked flows
            "promises": self.max_reservations,  # the maximum number of reservations
            "half": self.half_life,  # in nanoseconds
            "snapshot": snapshot if self.has_snapshot else "",  # empty: no snapshot is written
        }


@dataclass(slots=True, frozen=True)
class Fleet:
    """All settings of a fleet."""

    name: str
    path: str
    operators: tuple[Operator, ...]
    supervision: dict[str, int | bool]  # set in the file; the keys are values of `SUPERVISION_FIELDS`
    client: ClientSettings
    max_unavailable_by_site: dict[str, int]  # maximum number of unavailable instances at one time, by site
    hosts: tuple[HostSettings, ...]
    fairness: FairSharingSettings | None = None
    control_plane: ControlPlaneSettings | None = None  # None: agents work independently

    def host(self, name: str) -> HostSettings:
        """Return the host of that name. Raises SettingsError."""
        for host in self.hosts:
            if host.name == name:
                return host
        names = ", ".join(host.name for host in self.hosts)
        raise SettingsError(f"{self.path}: no host {name!r}; there are {names}")

    def operator(self, name: str) -> Operator:
        """Return the operator of that name. Raises SettingsError."""
        for operator in self.operators:
            if operator.name == name:
                return operator
        names = ", ".join(operator.name for operator in self.operators)
        raise SettingsError(f"{self.path}: no operator {name!r}; there are {names}")
