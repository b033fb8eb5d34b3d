"""What an agent tells whoever drives a release, and what it hears. It goes along with its polls."""

from __future__ import annotations

import msgspec

from oakkeel.rollout.commands import What
from oakkeel.rollout.gates import Figures


class Run(msgspec.Struct, array_like=True):
    """One thing as its agent knows it."""

    name: str
    version: str  # that its process says it runs
    generation: int
    phase: str
    age: int  # nanoseconds of the report, -1: none
    resting: bool = False  # it keeps ending, and is let alone for a time
    died: int = 0  # by itself, since its agent started
    load: float = 0.0  # of its cores
    figures: Figures | None = None


class Told(msgspec.Struct, array_like=True):
    runs: list[Run] = []
    ready: dict[str, str] = {}  # by release: why it can't be taken, empty where it can
    bases: dict[str, str] = {}  # by thing: the copy of what it runs now


class Heard(msgspec.Struct, array_like=True):
    """The answer: what its things run from their next start on."""

    versions: dict[str, str] = {}
    sources: dict[str, What] = {}  # of these
    release: str = ""  # that is open and has something here
    what: What = msgspec.field(default_factory=lambda: What(""))
    things: list[str] = []  # of it, here
    watch: bool = False  # figures are asked for


_told, _heard = msgspec.msgpack.Decoder(Told), msgspec.msgpack.Decoder(Heard)


def encode(word: Told | Heard) -> bytes:
    return msgspec.msgpack.encode(word)


def read_told(content: bytes) -> Told:
    """Raises `msgspec.MsgspecError`."""
    return _told.decode(content) if content else Told()


def read_heard(content: bytes) -> Heard:
    """Raises `msgspec.MsgspecError`."""
    return _heard.decode(content) if content else Heard()
