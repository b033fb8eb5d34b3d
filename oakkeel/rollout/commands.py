"""What is put to the record for releases. Those with a fence are a driver's, under its lease alone."""

from __future__ import annotations

import msgspec

from oakkeel.disruption import commands as places

MAX_TARGETS = places.MAX_TARGETS


class VersionSpec(msgspec.Struct, array_like=True):
    """What is released: a content, and where hosts find it until they have a copy of their own."""

    version: str  # hash of the content; of services any text
    program: str = ""  # folder
    patch: str = ""  # file, merged into each instance's configuration
    services: bool = False  # it is of services below, which are replaced by hand
    as_set: bool = False  # what is not named of it is as the operators' settings say, whatever ran before


class RolloutPolicy(msgspec.Struct, array_like=True):
    """How a release goes on. Times in nanoseconds."""

    canary: int = 1
    growth: float = 2.0  # as many again, times this less one, as have the new by now
    most: int = 0  # in one batch; 0: as the bounds allow
    control: bool = True  # restart as many of the old beside the first ones, to compare cold with cold
    gated: bool = True
    back: bool = False  # what was halted by its gates goes back by itself
    soak: int = 60_000_000_000  # at least so long after each batch
    patience: int = 600_000_000_000  # with no answer from the gates for so long it halts
    lasts: int = 120_000_000_000  # for one batch
    margin: float = 0.02  # of the benefit: a loss of that must be told from none
    ceiling: float = 0.85  # load of those left at a site


class StartRelease(msgspec.Struct, tag="begin", array_like=True):
    ident: str
    operator: str
    unix: int
    what: VersionSpec
    pace: RolloutPolicy
    things: list[str]


class ControlRelease(msgspec.Struct, tag="turn", array_like=True):
    """An operator's word: pause, resume, abort, undo, leave."""

    ident: str
    operator: str
    to: str


class ReportPrepared(msgspec.Struct, tag="ready", array_like=True):
    """A host has its copy of the new and of what runs there, or says why not."""

    ident: str
    fence: int
    host: str
    why: str
    bases: dict[str, str]  # by thing: the version of what it runs now


class BeginRollout(msgspec.Struct, tag="go", array_like=True):
    ident: str
    fence: int
    step: int


class StartBatch(msgspec.Struct, tag="batch", array_like=True):
    """Change these now, each of the generation that was seen; `controls` begin anew as they are."""

    ident: str
    fence: int
    step: int
    unix: int
    things: list[tuple[str, int]]
    controls: list[tuple[str, int]] = []


class FinishBatch(msgspec.Struct, tag="settle", array_like=True):
    """The batch is over: these run the new, the rest the old."""

    ident: str
    fence: int
    step: int
    new: list[str]


class RecordVerdict(msgspec.Struct, tag="judge", array_like=True):
    """What the gates have seen so far, for whoever drives next; with a reason it halts."""

    ident: str
    fence: int
    step: int
    seen: bytes
    said: str  # for people
    why: str = ""  # it halts; empty: it goes on


class FinishRelease(msgspec.Struct, tag="finish", array_like=True):
    """All of it is where it shall be."""

    ident: str
    fence: int
    step: int


Command = (
    StartRelease
    | ControlRelease
    | ReportPrepared
    | BeginRollout
    | StartBatch
    | FinishBatch
    | RecordVerdict
    | FinishRelease
)
