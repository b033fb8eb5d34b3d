"""What passes between command line and agent, inside sealed frames. Ages are nanoseconds, -1 for never."""

from __future__ import annotations

import msgspec

from oakkeel.control.messages import ClientsTold, Report
from oakkeel.disruption.messages import Agreed, Poll
from oakkeel.raft.messages import Letter
from oakkeel.rollout.commands import Pace, What


class Look(msgspec.Struct, tag="look", forbid_unknown_fields=True):
    """How is everything on the host? `HostTold` comes back."""


class Order(msgspec.Struct, tag="order", forbid_unknown_fields=True):
    """An order for instances, each with the generation that it is made for. `OrderTold` comes back."""

    ident: str
    verb: str
    instances: list[tuple[str, int]]
    lasts: int  # nanoseconds, from when it is taken
    supersede: bool = False


class Cancel(msgspec.Struct, tag="cancel", forbid_unknown_fields=True):
    """End what an order has not begun. `OrderTold` comes back."""

    ident: str


class ListOrders(msgspec.Struct, tag="orders", forbid_unknown_fields=True):
    """The last orders. `OrdersTold` comes back."""

    most: int = 50


class Clients(msgspec.Struct, tag="clients", forbid_unknown_fields=True):
    """Who sends the most to an instance? `ClientsOf` comes back."""

    instance: str
    most: int = 20


class Carry(msgspec.Struct, tag="carry", forbid_unknown_fields=True):
    """Letters from one keeper to another. `Carried` comes back."""

    letters: list[Letter]


class Polled(msgspec.Struct, tag="polled", forbid_unknown_fields=True):
    """An agent to whom it takes for the leader. `AgreedTold` comes back, or `Elsewhere`."""

    poll: Poll


class FleetOrder(msgspec.Struct, tag="fleet", forbid_unknown_fields=True):
    """An order for things of any host, to be agreed. `FleetTold` comes back, or `Elsewhere`."""

    ident: str
    verb: str
    things: list[tuple[str, int]]
    lasts: int  # nanoseconds
    whole: bool = False


class FleetEnd(msgspec.Struct, tag="end", forbid_unknown_fields=True):
    """Halt an order of the fleet, or cancel it: what it took out comes back. `FleetTold` comes back."""

    ident: str
    back: bool


class SetKeepers(msgspec.Struct, tag="set keepers", forbid_unknown_fields=True):
    """Who should keep the record from now on. `RecordTold` comes back, or `Elsewhere`."""

    hosts: list[str]


class StartRelease(msgspec.Struct, tag="start release", forbid_unknown_fields=True):
    """Bring that to those things, step by step. `ReleaseTold` comes back, or `Elsewhere`."""

    ident: str
    what: What
    pace: Pace
    things: list[str]


class TurnRelease(msgspec.Struct, tag="turn release", forbid_unknown_fields=True):
    """pause, resume, abort, undo, leave. `ReleaseTold` comes back, or `Elsewhere`."""

    ident: str
    to: str


class AskRelease(msgspec.Struct, tag="ask release", forbid_unknown_fields=True):
    """How far is it? Without an id the open one, or the last. `ReleaseTold` comes back, or `Elsewhere`."""

    ident: str = ""


class AskRecord(msgspec.Struct, tag="record", forbid_unknown_fields=True):
    """How is the record, as this agent knows it? `RecordTold` comes back."""


class AskFleet(msgspec.Struct, tag="fleet state", forbid_unknown_fields=True):
    """Places and orders of the fleet. `FleetStateTold` comes back, or `Elsewhere`."""

    ident: str = ""  # of one order; else the latest


class OrderOn(msgspec.Struct):
    """The order that is open on an instance."""

    ident: str
    operator: str
    verb: str
    state: str
    age: int


class InstanceTold(msgspec.Struct):
    """An instance as its agent knows it."""

    name: str
    phase: str
    phase_age: int
    goal: str
    generation: int
    changed: int  # Unix nanoseconds
    changed_by: str
    pid: int
    heard_age: int  # of `report`
    report: Report | None
    order: OrderOn | None
    deaths: int  # within the window of the budget
    resting: bool
    starts_in: int  # nanoseconds until it may be started; 0: now or not to be
    why: str  # the last thing that went wrong


class HostTold(msgspec.Struct, tag="host"):
    host: str
    site: str
    uptime: int  # of the agent
    unix: int  # its clock
    away: int  # how many of its instances may be out at one time
    out: int  # how many are
    notes: list[str]  # what its operator should know of
    instances: list[InstanceTold]


class PartTold(msgspec.Struct):
    instance: str
    state: str
    age: int
    why: str


class OrderTold(msgspec.Struct, tag="order"):
    ident: str
    operator: str
    verb: str
    taken: int  # Unix nanoseconds
    parts: list[PartTold]


class OrdersTold(msgspec.Struct, tag="orders"):
    orders: list[OrderTold]  # the latest first


class ClientsOf(msgspec.Struct, tag="clients"):
    instance: str
    told: ClientsTold


class Carried(msgspec.Struct, tag="carried"):
    letters: list[Letter]


class AgreedTold(msgspec.Struct, tag="agreed"):
    agreed: Agreed


class Elsewhere(msgspec.Struct, tag="elsewhere"):
    """Only the leader answers that; `leader` is a host, or empty where none is known."""

    leader: str
    why: str


class FleetPart(msgspec.Struct):
    thing: str
    host: str
    state: str
    why: str
    place: int  # the fence of its place; 0: none
    owes: str = ""  # what it has yet to answer while it leaves


class FleetTold(msgspec.Struct, tag="fleet"):
    """An order of the fleet as it is agreed."""

    ident: str
    operator: str
    verb: str
    unix: int
    whole: bool
    halted: str
    cancelled: str
    parts: list[FleetPart]


class PlaceOut(msgspec.Struct):
    """A thing that is out, and why."""

    thing: str
    host: str
    reasons: list[str]
    fence: int = 0
    order: str = ""


class GroupOut(msgspec.Struct):
    name: str
    out: int
    bound: int


class FleetStateTold(msgspec.Struct, tag="fleet state"):
    index: int
    groups: list[GroupOut]
    out: list[PlaceOut]
    orders: list[FleetTold]  # the latest first


class KeeperTold(msgspec.Struct):
    """A member of the record, as its leader or one who follows knows it. -1: not known here."""

    name: str
    life: str
    votes: bool
    behind: int  # entries
    heard_age: int


class RecordTold(msgspec.Struct, tag="record"):
    host: str
    role: str  # none: it keeps nothing
    role_age: int
    epoch: str
    term: int
    leader: str
    leads: bool  # and its lease holds
    agreed: int  # index
    last: int
    elections: int
    heard_age: int  # since this agent heard the record's answer last
    members: list[KeeperTold]
    why: str


class ReleasePart(msgspec.Struct):
    thing: str
    host: str
    state: str  # old, changing, new
    runs: str  # the version that its process told
    phase: str
    age: int  # of that, -1: nothing is known
    why: str = ""


class ReleaseTold(msgspec.Struct, tag="release"):
    """A release as it is agreed, and what whoever drives it waits for."""

    ident: str
    operator: str
    unix: int
    state: str
    what: What
    step: int
    batch: int
    why: str
    said: str  # the gates' figures
    waits: str  # what for, as the driver knows it
    driver: str
    parts: list[ReleasePart]
    others: list[tuple[str, str]]  # releases that are over: id and state


class Fault(msgspec.Struct, tag="fault"):
    """Nothing came of it."""

    why: str


Between = Carry | Polled  # agents
Wish = (
    Look
    | Order
    | Cancel
    | ListOrders
    | Clients
    | FleetOrder
    | FleetEnd
    | SetKeepers
    | AskRecord
    | AskFleet
    | StartRelease
    | TurnRelease
    | AskRelease
    | Between
)
Answer = (
    HostTold
    | OrderTold
    | OrdersTold
    | ClientsOf
    | Carried
    | AgreedTold
    | Elsewhere
    | FleetTold
    | FleetStateTold
    | RecordTold
    | ReleaseTold
    | Fault
)
_wishes = msgspec.msgpack.Decoder(Wish)
_answers = msgspec.msgpack.Decoder(Answer)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Wish | Answer) -> bytes:
    return _encoder.encode(message)


def read_wish(content: bytes) -> Wish:
    """Raises `msgspec.MsgspecError` with one plain line."""
    return _wishes.decode(content)


def read_answer(content: bytes) -> Answer:
    """Raises `msgspec.MsgspecError` with one plain line."""
    return _answers.decode(content)
