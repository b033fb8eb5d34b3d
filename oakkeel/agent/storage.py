"""What the agent keeps on disk of instances and orders, and how it is taken up again."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterable

import msgspec

from oakkeel.agent.instances import Goal, Instance, Phase
from oakkeel.agent.orders import Order, OrderRegistry, Task, TaskState, Verb
from oakkeel.disruption.holder import PermitHolder
from oakkeel.rollout.assignments import VersionAssignments
from oakkeel.rollout.commands import VersionSpec
from oakkeel.store.database import Database, Statement

VERSION = 1
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
# Beside the schema, so that a file of an earlier program is gone on with.
ADDED_TABLES: list[Statement] = [
    (
        "CREATE TABLE IF NOT EXISTS places (thing TEXT PRIMARY KEY, fence INTEGER,"
        " ident TEXT, begun INTEGER)",
        (),
    ),
    ("CREATE TABLE IF NOT EXISTS reserved (thing TEXT PRIMARY KEY, upto INTEGER)", ()),
    ("CREATE TABLE IF NOT EXISTS fitting (one INTEGER PRIMARY KEY, content BLOB)", ()),
    ("CREATE TABLE IF NOT EXISTS heard (one INTEGER PRIMARY KEY, epoch TEXT)", ()),
]
PUT_PERMIT = "INSERT OR REPLACE INTO places VALUES (?,?,?,?)"
PUT_INSTANCE = "INSERT OR REPLACE INTO instances VALUES (?,?,?,?,?,?,?,?,?,?,?,?,?,?)"
PUT_ORDER = "INSERT OR IGNORE INTO orders VALUES (NULL,?,?,?,?,?,?)"
PUT_PART = "INSERT OR REPLACE INTO parts VALUES (?,?,?,?,?,?,?)"


def statements(
    instances: Iterable[Instance], orders: Iterable[Order], dropped: Iterable[str]
) -> list[Statement]:
    """What to write for all that changed."""
    rows: list[Statement] = []
    for each in instances:
        rows.append(
            (
                PUT_INSTANCE,
                (
                    each.name,
                    each.generation,
                    each.changed,
                    each.changed_by,
                    each.born,
                    each.spawned,
                    each.goal.value,
                    each.phase.value,
                    each.kill,
                    each.start_at,
                    each.failures,
                    json.dumps(list(each.deaths)),
                    each.resting,
                    each.why,
                ),
            )
        )
    for order in orders:
        rows.append(
            (
                PUT_ORDER,
                (
                    order.ident,
                    order.operator,
                    order.verb.value,
                    order.taken,
                    order.expires,
                    json.dumps(order.asked),
                ),
            )
        )
        for part in order.parts:
            rows.append(
                (
                    PUT_PART,
                    (
                        order.ident,
                        part.instance.name,
                        part.generation,
                        part.state.value,
                        part.since,
                        part.why,
                        part.replaces,
                    ),
                )
            )
    for ident in dropped:
        rows.append(("DELETE FROM orders WHERE ident = ?", (ident,)))
        rows.append(("DELETE FROM parts WHERE ident = ?", (ident,)))
    return rows


def restore_instances(store: Database, instances: dict[str, Instance], same_boot: bool) -> None:
    """Fill in what was kept. After another boot no time on the monotonic clock means anything any more."""
    for row in store.read("SELECT * FROM instances"):
        each = instances.get(row[0])
        if each is None:
            continue  # its settings are gone; what is kept of it stays, should they come back
        (
            _,
            each.generation,
            each.changed,
            each.changed_by,
            each.born,
            spawned,
            goal,
            phase,
            kill,
            each.start_at,
            each.failures,
            deaths,
            resting,
            each.why,
        ) = row
        each.spawned, each.kill, each.resting = bool(spawned), bool(kill), bool(resting)
        each.goal, each.phase, each.deaths = Goal(goal), Phase(phase), deque(json.loads(deaths))
        if not same_boot:
            each.start_at, each.failures, each.resting = 0, 0, False
            each.deaths.clear()


def restore_orders(store: Database, orders: OrderRegistry) -> None:
    """The orders with their parts, the oldest first."""
    found: dict[str, Order] = {}
    for ident, operator, verb, taken, expires, asked in store.read(
        "SELECT ident, operator, verb, taken, expires, asked FROM orders ORDER BY place"
    ):
        pairs = tuple((name, generation) for name, generation in json.loads(asked))
        found[ident] = Order(ident, operator, Verb(verb), taken, expires, pairs)
    for ident, name, generation, state, since, why, replaces in store.read("SELECT * FROM parts"):
        instance = orders.named.get(name)
        if instance is not None and ident in found:
            found[ident].parts.append(
                Task(found[ident], instance, generation, TaskState(state), since, why, replaces)
            )
    orders.restore(list(found.values()))


def permit_statements(permit_holder: PermitHolder) -> list[Statement]:
    """The fences and places that changed, and the record that they are of."""
    rows: list[Statement] = []
    for thing in sorted(permit_holder.changed):
        held = permit_holder.permits.get(thing)
        rows.append(
            (
                PUT_PERMIT,
                (
                    thing,
                    permit_holder.highest_tokens.get(thing, 0),
                    held.order_id if held else "",
                    bool(held and held.started),
                ),
            )
        )
        if thing in permit_holder.generations:
            rows.append(
                ("INSERT OR REPLACE INTO reserved VALUES (?,?)", (thing, permit_holder.generations[thing]))
            )
    if rows:
        rows.append(("INSERT OR REPLACE INTO heard VALUES (1, ?)", (permit_holder.epoch,)))
    return rows


def restore_permits(store: Database, permit_holder: PermitHolder) -> None:
    epochs = store.read("SELECT epoch FROM heard")
    permit_holder.restore(
        epochs[0][0] if epochs else "",
        [
            (thing, fence, ident, bool(begun))
            for thing, fence, ident, begun in store.read("SELECT thing, fence, ident, begun FROM places")
        ],
        dict(store.read("SELECT thing, upto FROM reserved")),
    )


def assignment_statements(fitting: VersionAssignments) -> list[Statement]:
    """What things shall run, where the versions come from, and what they ran before."""
    if not fitting.changed:
        return []
    return [
        (
            "INSERT OR REPLACE INTO fitting VALUES (1, ?)",
            (msgspec.msgpack.encode((fitting.versions, fitting.sources, fitting.bases)),),
        )
    ]


def restore_assignments(store: Database, fitting: VersionAssignments) -> None:
    for (content,) in store.read("SELECT content FROM fitting"):
        fitting.restore(
            *msgspec.msgpack.decode(
                content, type=tuple[dict[str, str], dict[str, VersionSpec], dict[str, str]]
            )
        )
