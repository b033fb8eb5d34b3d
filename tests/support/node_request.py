"""Builds requests as the node reads them; resource limits and an event log for tests."""

from __future__ import annotations

from typing import Any

from oakkeel.admission.types import RequestClass
from oakkeel.log import EventLog
from oakkeel.request import NodeRequest
from oakkeel.resource_limits import ResourceLimits
from oakkeel.units import SECOND
from tests.support.fake_host import REQUEST_CLASS

RESOURCE_LIMITS = ResourceLimits(sockets=1024, memory=192 * 2**20, stop_after=3 * SECOND)
EVENT_LOG = EventLog("test", 0)


def node_request(
    request_id: bytes = b"9b1f03aa5c7e2d41",
    key: bytes = b"",
    request_class: RequestClass = REQUEST_CLASS,
    **fields: Any,
) -> NodeRequest:
    """Return a request of the default test class; `fields` override the defaults."""
    defaults: dict[str, Any] = {
        "request_class": request_class,
        "tenant": None,
        "client": 0,
        "memory_kb": 50,
        "retry_attempt": False,
        "remaining_time": 5 * SECOND,
        "queueing_delay": 0,
        "has_key": bool(key),
        "is_duplicate": False,
        "request_id": request_id,
        "tag": 1,
        "class_name": b"quote",
        "body": b"",
        "cache_key": (request_class.index, key) if key else None,
        "connection": None,
    }
    return NodeRequest(**(defaults | fields))
