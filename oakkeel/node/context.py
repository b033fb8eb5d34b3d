"""The interface of a node that its control endpoint uses."""

from __future__ import annotations

from asyncio import Task
from typing import TYPE_CHECKING, Protocol

from oakkeel.dispatch.listener import Listener
from oakkeel.log import EventLog
from oakkeel.node.configuration import NodeConfiguration
from oakkeel.node.drain import Drain
from oakkeel.node.host import NodeHost
from oakkeel.node.metrics import Metrics
from oakkeel.resource_limits import ResourceLimits

if TYPE_CHECKING:
    from oakkeel.node.fair_sharing import NodeFairSharing


class NodeContext(Protocol):
    """The attributes of a node that its control endpoint uses."""

    configuration: NodeConfiguration
    resource_limits: ResourceLimits
    log: EventLog
    listener: Listener
    host: NodeHost
    open_requests: dict[bytes, Task[None]]
    metrics: Metrics
    drain: Drain
    fair_sharing: NodeFairSharing | None
