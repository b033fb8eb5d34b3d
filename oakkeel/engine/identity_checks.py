"""Checks whether the engine knows the ID of a request that it is not asked to run.

The engine refuses each command for an ID of no request that came to the machine. A command without an effect
on a request that has no run shows that: if the answer to a request for gauges behind the command comes first,
the engine knows the ID.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.admission.types import StopKind
from oakkeel.engine.verbs import HALT, SKIP, STAT
from oakkeel.request import NodeRequest
from oakkeel.request_events import IdentityChecked

NO_NOTICE_NUMBER = 0  # notices are numbered from 1


def check_command(request: NodeRequest, stop_kind: StopKind) -> bytes | None:
    """Return a command that the engine refuses only if it does not know the ID of the request.

    The request must have no run. None if the settings of the node let the engine refuse each such command.
    """
    if stop_kind is not StopKind.NONE:
        return b"%s %s\r\n" % (HALT, request.request_id)
    if request.request_class.is_call_optional:
        return b"%s %s %d\r\n" % (SKIP, request.request_id, NO_NOTICE_NUMBER)
    return None


@dataclass(slots=True)
class IdentityCheck:
    """A check that the engine has not answered yet."""

    request: NodeRequest
    command: bytes


class IdentityChecks:
    """The checks in flight; `IdentityChecked` is posted to the request of each."""

    def __init__(self) -> None:
        """Start with no check."""
        self._checks: dict[bytes, IdentityCheck] = {}  # by request ID
        self._request_ids: dict[bytes, bytes] = {}  # by the tag of the request for gauges

    def add(self, request: NodeRequest, command: bytes) -> None:
        """Add a check, which `encode` returns for the connection."""
        self._checks[request.request_id] = IdentityCheck(request, command)

    def discard(self, request: NodeRequest) -> None:
        """Drop the check of a request that no longer waits for it, if there is one."""
        self._checks.pop(request.request_id, None)

    def encode(self, request_id: bytes, tag: bytes) -> bytes:
        """Return the lines of a check; the answer to the request for gauges will have the tag."""
        self._request_ids[tag] = request_id
        return self._checks[request_id].command + b"%s %s\r\n" % (STAT, tag)

    def restart(self) -> list[bytes]:
        """Forget the tags of a lost connection; return the request IDs whose checks have to be sent again."""
        self._request_ids.clear()
        return list(self._checks)

    def confirm(self, tag: bytes) -> bool:
        """End the check with this tag, as its command was not refused; return whether the tag is known."""
        if tag not in self._request_ids:
            return False
        self._end(self._request_ids.pop(tag), is_known=True)
        return True

    def refuse(self, request_id: bytes) -> None:
        """End the check of this request ID, if there is one, as the engine does not know the ID."""
        self._end(request_id, is_known=False)

    def _end(self, request_id: bytes, is_known: bool) -> None:
        if check := self._checks.pop(request_id, None):
            check.request.post(IdentityChecked(is_known))
