"""Tests of storing and restoring the orders of an agent."""

import os
import tempfile
import unittest

from oakkeel.agent.instances import HostTaskState, Instance, Phase, Verb
from oakkeel.agent.order_rules import OrderSubmission
from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.storage import (
    ADDED_TABLES,
    SCHEMA,
    VERSION,
    order_statements,
    restore_instances,
    restore_orders,
)
from oakkeel.agent.supervision_rules import Action, SupervisionTimeouts
from oakkeel.agent.supervisor import Supervisor
from oakkeel.store.database import Database
from oakkeel.units import SECOND


def make_registry() -> OrderRegistry:
    """An order registry with one serving instance of generation 3."""
    instance = Instance(
        "n1", "woodbrook", phase=Phase.SERVING, generation=3, process_generation=3, is_spawned=True
    )
    supervisor = Supervisor([instance], SupervisionTimeouts(), {"woodbrook": 1}, 7, lambda: 0)
    return OrderRegistry(supervisor, lambda: 0)


class InstanceStorageTest(unittest.TestCase):
    def test_a_drain_that_may_be_cancelled_is_sent_as_such_by_the_next_agent(self):
        # Sent again as SIGTERM it could not be cancelled any more.
        folder = self.enterContext(tempfile.TemporaryDirectory())
        store = Database(os.path.join(folder, "agent.db"), SCHEMA, VERSION)
        self.addCleanup(store.close)
        store.write(ADDED_TABLES)
        for is_cancellable, action in ((True, Action.DRAIN), (False, Action.TERM)):
            registry, restored_registry = make_registry(), make_registry()
            instance, restored = registry.instances["n1"], restored_registry.instances["n1"]
            registry.supervisor.order_stop(SECOND, instance, kill=False, cancellable=is_cancellable)
            store.write(order_statements([instance], [], []))
            restore_instances(store, {"n1": restored}, is_same_boot=True)
            restored_registry.supervisor.record_adoption(SECOND, restored, 3)
            [step] = restored_registry.supervisor.tick(2 * SECOND)
            self.assertIs(step.action, action)


class OrderStorageTest(unittest.TestCase):
    def test_restores_the_generation_that_a_started_restart_replaces(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        store = Database(os.path.join(folder, "agent.db"), SCHEMA, VERSION)
        self.addCleanup(store.close)
        registry, restored_registry = make_registry(), make_registry()
        submission = OrderSubmission("o1", "asha", Verb.RESTART, (("n1", 3),), 60 * SECOND)
        order = registry.submit(SECOND, submission)
        registry.advance(SECOND)
        store.write(order_statements([], [order], []))

        restore_orders(store, restored_registry)

        [task] = restored_registry.open_tasks
        self.assertEqual((task.state, task.replaced_generation), (HostTaskState.IN_PROGRESS, 3))
        self.assertIs(task.is_drain_sent, True)
