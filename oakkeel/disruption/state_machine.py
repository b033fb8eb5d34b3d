"""The replicated state machine of permits, orders, generations and leases.

It is deterministic, so that its state is the same on every replica: free of I/O, of time and of random
numbers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar

import msgspec

from oakkeel.disruption import cluster_handlers, commands, order_handlers, permit_handlers
from oakkeel.disruption.command_registry import CommandRegistry
from oakkeel.disruption.queries import ControlPlaneView
from oakkeel.disruption.state import ControlPlaneState, Rejection


class PermitStateMachine(ControlPlaneView):
    """A state machine for `raft.replica`. A subclass that extends it sets `STATE` and `COMMANDS`."""

    STATE: ClassVar[type[ControlPlaneState]] = ControlPlaneState
    COMMANDS: ClassVar[CommandRegistry] = CommandRegistry(
        {
            commands.SetTopology: cluster_handlers.set_topology,
            commands.SubmitOrder: order_handlers.submit_order,
            commands.HaltOrder: order_handlers.halt_order,
            commands.CancelOrder: order_handlers.cancel_order,
            commands.GrantPermits: permit_handlers.grant_permits,
            commands.StartPermit: permit_handlers.start_permit,
            commands.ReleasePermit: permit_handlers.release_permit,
            commands.ExpirePermit: permit_handlers.expire_permit,
            commands.FinishTask: order_handlers.finish_task,
            commands.ExpireOrder: order_handlers.expire_order,
            commands.ReserveGenerations: cluster_handlers.reserve_generations,
            commands.SetVoters: cluster_handlers.set_voters,
            commands.AcquireLease: cluster_handlers.acquire_lease,
            commands.ReleaseLease: cluster_handlers.release_lease,
        }
    )

    def __init__(self, on_applied: Callable[[int, Any, object], None] | None = None) -> None:
        """`on_applied` is called with the index, the command and the result of each applied command."""
        self.on_applied = on_applied
        self.restore(b"")

    def apply(self, index: int, content: bytes) -> object:
        """Apply a committed command. Returns its result, or a Rejection if the state did not change."""
        try:
            command = self.decode_command(content)
        except msgspec.MsgspecError as error:  # a command of a later version: every replica rejects it
            return Rejection(f"this version can't decode the command: {error}")
        result = self.COMMANDS.apply(self, index, command)
        self.index = index
        if self.on_applied:
            self.on_applied(index, command, result)
        return result

    def decode_command(self, content: bytes) -> Any:
        """Decode a command. Raises msgspec.MsgspecError."""
        return self.COMMANDS.decode(content)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return msgspec.msgpack.encode(self.state)

    def restore(self, content: bytes) -> None:
        """Replace the state with that of a snapshot; empty content is the state of a new cluster."""
        self.state = msgspec.msgpack.decode(content, type=self.STATE) if content else self.STATE()
        self.index = 0
        self.count_unavailable()

    def desired_voters(self) -> tuple[str, ...]:
        """Return the hosts that should be voters; empty to keep the present ones."""
        return tuple(self.state.voters)
