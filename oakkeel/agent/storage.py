"""The tables of an agent's state file: instances, orders, permits and version assignments."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterable

import msgspec

from oakkeel.agent.instances import Goal, HostTaskState, Instance, Order, Phase, Task, Verb
from oakkeel.agent.orders import OrderRegistry
from oakkeel.disruption.holder import PermitHolder, StoredPermit
from oakkeel.rollout.assignments import VersionAssignments
from oakkeel.rollout.commands import VersionSpec
from oakkeel.store.database import Database, Statement

VERSION = 1
# Stored names. `instances`: `born` is the process generation, `kill` whether to kill after the drain,
# `start_at` the time before which the instance is not started, `failures` the consecutive crashes, `deaths`
# the crash times, `resting` whether the restarts are exhausted. `orders`: `place` is the sequence number,
# `taken` the time of acceptance, `asked` the requested instances. `parts` are tasks: `replaces` is the
# generation of the process that a restart replaces. `places` are permits: `thing` is the target, `fence` the
# highest fencing token, `begun` whether the permit was started. `reserved`: `upto` is the highest reserved
# generation. `fitting` holds the version assignments, `heard` the epoch of the replicated log that granted
# the permits. `ident` is the ID of an order.
SCHEMA = """
CREATE TABLE boot (id TEXT NOT NULL);
CREATE TABLE instances (name TEXT PRIMARY KEY, generation INTEGER, changed INTEGER, changed_by TEXT,
    born INTEGER, spawned INTEGER, goal TEXT, phase TEXT, kill INTEGER, start_at INTEGER, failures INTEGER,
    deaths TEXT, resting INTEGER, why TEXT);
CREATE TABLE orders (place INTEGER PRIMARY KEY AUTOINCREMENT, ident TEXT UNIQUE, operator TEXT, verb TEXT,
    taken INTEGER, expires INTEGER, asked TEXT);
CREATE TABLE parts (ident TEXT, instance TEXT, generation INTEGER, state TEXT, since INTEGER, why TEXT,
    replaces INTEGER, PRIMARY KEY (ident, instance))
"""
# Not in the schema, so that files of earlier versions can still be used.
ADDED_TABLES: list[Statement] = [
    (
        "CREATE TABLE IF NOT EXISTS places (thing TEXT PRIMARY KEY, fence INTEGER,"
        " ident TEXT, begun INTEGER)",
        (),
    ),
    ("CREATE TABLE IF NOT EXISTS reserved (thing TEXT PRIMARY KEY, upto INTEGER)", ()),
    ("CREATE TABLE IF NOT EXISTS fitting (one INTEGER PRIMARY KEY, content BLOB)", ()),
    ("CREATE TABLE IF NOT EXISTS heard (one INTEGER PRIMARY KEY, epoch TEXT)", ()),
    ("CREATE TABLE IF NOT EXISTS drains (instance TEXT PRIMARY KEY, cancellable INTEGER)", ()),
]
PUT_PERMIT = "INSERT OR REPLACE INTO places VALUES (?,?,?,?)"
PUT_INSTANCE = "INSERT OR REPLACE INTO instances VALUES (?,?,?,?,?,?,?,?,?,?,?,?,?,?)"
PUT_DRAIN = "INSERT OR REPLACE INTO drains VALUES (?,?)"
PUT_ORDER = "INSERT OR IGNORE INTO orders VALUES (NULL,?,?,?,?,?,?)"
PUT_TASK = "INSERT OR REPLACE INTO parts VALUES (?,?,?,?,?,?,?)"


def order_statements(
    instances: Iterable[Instance], orders: Iterable[Order], deleted: Iterable[str]
) -> list[Statement]:
    """The statements that write changed instances and orders; `deleted` holds IDs of orders."""
    statements: list[Statement] = []
    for instance in instances:
        statements.append(_instance_statement(instance))
        statements.append((PUT_DRAIN, (instance.name, instance.is_drain_cancellable)))
    for order in orders:
        statements.append(_order_statement(order))
        statements += [_task_statement(order, task) for task in order.tasks]
    for order_id in deleted:
        statements.append(("DELETE FROM orders WHERE ident = ?", (order_id,)))
        statements.append(("DELETE FROM parts WHERE ident = ?", (order_id,)))
    return statements


def _instance_statement(instance: Instance) -> Statement:
    values = (
        instance.name,
        instance.generation,
        instance.changed_at,
        instance.changed_by,
        instance.process_generation,
        instance.is_spawned,
        instance.goal.value,
        instance.phase.value,
        instance.kill_after_drain,
        instance.start_not_before,
        instance.consecutive_crashes,
        json.dumps(list(instance.crash_times)),
        instance.restarts_exhausted,
        instance.why,
    )
    return (PUT_INSTANCE, values)


def _order_statement(order: Order) -> Statement:
    values = (
        order.order_id,
        order.operator,
        order.verb.value,
        order.accepted_at,
        order.expires_at,
        json.dumps(order.requested_instances),
    )
    return (PUT_ORDER, values)


def _task_statement(order: Order, task: Task) -> Statement:
    values = (
        order.order_id,
        task.instance.name,
        task.generation,
        task.state.value,
        task.state_since,
        task.why,
        task.replaced_generation,
    )
    return (PUT_TASK, values)


def restore_instances(store: Database, instances: dict[str, Instance], is_same_boot: bool) -> None:
    """Restore stored instances. After a reboot, times of the monotonic clock are invalid."""
    for row in store.read("SELECT * FROM instances"):
        instance = instances.get(row[0])
        if instance is None:
            continue  # no longer in the settings; the row stays, in case the instance is added again
        (
            _,
            instance.generation,
            instance.changed_at,
            instance.changed_by,
            instance.process_generation,
            spawned,
            goal,
            phase,
            kill,
            instance.start_not_before,
            instance.consecutive_crashes,
            crash_times_json,
            resting,
            instance.why,
        ) = row
        instance.is_spawned = bool(spawned)
        instance.kill_after_drain = bool(kill)
        instance.restarts_exhausted = bool(resting)
        instance.goal = Goal(goal)
        instance.phase = Phase(phase)
        instance.crash_times = deque(json.loads(crash_times_json))
        if not is_same_boot:
            instance.start_not_before = 0
            instance.consecutive_crashes = 0
            instance.restarts_exhausted = False
            instance.crash_times.clear()
    for name, cancellable in store.read("SELECT instance, cancellable FROM drains"):
        if name in instances:
            instances[name].is_drain_cancellable = bool(cancellable)


def restore_orders(store: Database, orders: OrderRegistry) -> None:
    """Restore stored orders with their tasks, oldest first."""
    restored: dict[str, Order] = {}
    for order_id, operator, verb, accepted_at, expires_at, requested_json in store.read(
        "SELECT ident, operator, verb, taken, expires, asked FROM orders ORDER BY place"
    ):
        requested_instances = tuple((name, generation) for name, generation in json.loads(requested_json))
        restored[order_id] = Order(
            order_id, operator, Verb(verb), accepted_at, expires_at, requested_instances
        )
    for order_id, name, generation, state, since, why, replaced_generation in store.read(
        "SELECT * FROM parts"
    ):
        instance = orders.instances.get(name)
        if instance is not None and order_id in restored:
            # Whether a drain was sent is not stored. The drain of a started task counts as sent: if the
            # process does not answer, the task would otherwise wait for a report until its order expires.
            restored[order_id].tasks.append(
                Task(
                    restored[order_id],
                    instance,
                    generation,
                    HostTaskState(state),
                    since,
                    why,
                    is_drain_sent=bool(replaced_generation),
                    replaced_generation=replaced_generation,
                )
            )
    orders.restore(list(restored.values()))


def permit_statements(permit_holder: PermitHolder) -> list[Statement]:
    """The statements that write changed permits, and the epoch of the replicated log that granted them."""
    statements: list[Statement] = []
    for target in sorted(permit_holder.changed_targets):
        permit = permit_holder.permits.get(target)
        statements.append(
            (
                PUT_PERMIT,
                (
                    target,
                    permit_holder.highest_tokens.get(target, 0),
                    permit.order_id if permit else "",
                    bool(permit and permit.started),
                ),
            )
        )
        if target in permit_holder.generations:
            statements.append(
                ("INSERT OR REPLACE INTO reserved VALUES (?,?)", (target, permit_holder.generations[target]))
            )
    if statements:
        statements.append(("INSERT OR REPLACE INTO heard VALUES (1, ?)", (permit_holder.epoch,)))
    return statements


def restore_permits(store: Database, permit_holder: PermitHolder) -> None:
    """Restore fencing tokens, started permits and reserved generations."""
    epochs = store.read("SELECT epoch FROM heard")
    permit_holder.restore(
        epochs[0][0] if epochs else "",
        [
            StoredPermit(target, fencing_token, order_id, bool(is_started))
            for target, fencing_token, order_id, is_started in store.read(
                "SELECT thing, fence, ident, begun FROM places"
            )
        ],
        dict(store.read("SELECT thing, upto FROM reserved")),
    )


def assignment_statements(assignments: VersionAssignments) -> list[Statement]:
    """The statement that writes the version assignments: versions, sources and earlier versions."""
    if not assignments.needs_storing:
        return []
    return [
        (
            "INSERT OR REPLACE INTO fitting VALUES (1, ?)",
            (msgspec.msgpack.encode((assignments.versions, assignments.sources, assignments.bases)),),
        )
    ]


def restore_assignments(store: Database, assignments: VersionAssignments) -> None:
    """Restore the version assignments of the targets."""
    for (content,) in store.read("SELECT content FROM fitting"):
        assignments.restore(
            *msgspec.msgpack.decode(
                content, type=tuple[dict[str, str], dict[str, VersionSpec], dict[str, str]]
            )
        )
