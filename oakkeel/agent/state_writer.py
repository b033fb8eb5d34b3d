"""Writes an agent's changed state, in one transaction for each reconciliation."""

from __future__ import annotations

from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.reconciler import Reconciler
from oakkeel.agent.storage import assignment_statements, order_statements, permit_statements
from oakkeel.log import EventLog
from oakkeel.store.database import Database, DatabaseError


class StateWriter:
    """Writes changed instances, orders, permits and version assignments."""

    def __init__(
        self, store: Database, orders: OrderRegistry, reconciler: Reconciler | None, log: EventLog
    ) -> None:
        """`reconciler` is None if the fleet has no control plane."""
        self.store = store
        self.orders = orders
        self.log = log
        self.instances = orders.supervisor.instances
        self.permit_holder = orders.permit_holder
        self.assignments = reconciler.assignments if reconciler else None
        self.storage_error = ""  # reason the last write failed; empty if it succeeded

    def save(self) -> bool:
        """Write the changed state; return False if that fails, and the next call retries."""
        changed_instances = [instance for instance in self.instances if instance.is_changed]
        if not changed_instances and not self._has_other_changes() and not self.storage_error:
            return True
        statements = order_statements(
            changed_instances, self.orders.changed_orders, self.orders.deleted_order_ids
        )
        if self.permit_holder:
            statements += permit_statements(self.permit_holder)
        if self.assignments:
            statements += assignment_statements(self.assignments)
        try:
            self.store.write(statements)
        except DatabaseError as error:
            if str(error) != self.storage_error:
                self.log.error("agent_state_write_failed", error=str(error))
            self.storage_error = str(error)
            return False
        for instance in changed_instances:
            instance.is_changed = False
        self._clear_other_changes()
        if self.storage_error:
            self.log.info("agent_state_write_recovered")
            self.storage_error = ""
        return True

    def _has_other_changes(self) -> bool:
        """Whether orders, permits or version assignments changed."""
        return bool(
            self.orders.changed_orders
            or self.orders.deleted_order_ids
            or (self.permit_holder and self.permit_holder.changed_targets)
            or (self.assignments and self.assignments.needs_storing)
        )

    def _clear_other_changes(self) -> None:
        self.orders.changed_orders.clear()
        self.orders.deleted_order_ids.clear()
        if self.permit_holder:
            self.permit_holder.changed_targets.clear()
        if self.assignments:
            self.assignments.needs_storing = False
