"""What the parts that come only where they are asked for see of the node that they belong to."""

from __future__ import annotations

from asyncio import Task
from typing import Any, Protocol

from oakkeel.dispatch.codec import ExchangeReader
from oakkeel.dispatch.listener import Listener
from oakkeel.log import Log
from oakkeel.node.configuration import Start
from oakkeel.node.drain import Drain
from oakkeel.node.host import NodeHost
from oakkeel.node.metrics import Measures
from oakkeel.resource_limits import Bounds


class Whole(Protocol):
    start: Start
    bounds: Bounds
    log: Log
    listener: Listener
    host: NodeHost
    open: dict[bytes, Task]
    measures: Measures
    draining: Drain
    reader: ExchangeReader | None
    fairly: Any  # measures of senders, or None
