"""What the parts that come only where they are asked for see of the node that they belong to."""

from __future__ import annotations

from asyncio import Task
from typing import Any, Protocol

from oakkeel.dispatch.codec import RequestReader
from oakkeel.dispatch.listener import Listener
from oakkeel.log import EventLog
from oakkeel.node.configuration import NodeConfiguration
from oakkeel.node.drain import Drain
from oakkeel.node.host import NodeHost
from oakkeel.node.metrics import Metrics
from oakkeel.resource_limits import ResourceLimits


class NodeContext(Protocol):
    start: NodeConfiguration
    resource_limits: ResourceLimits
    log: EventLog
    listener: Listener
    host: NodeHost
    open: dict[bytes, Task[None]]
    measures: Metrics
    draining: Drain
    reader: RequestReader | None
    fairly: Any  # measures of senders, or None
