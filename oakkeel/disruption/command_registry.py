"""The commands of a replicated state machine: one decoder for all types, and a handler for each type."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import reduce
from operator import or_
from typing import Any

import msgspec

Handler = Callable[[Any, int, Any], object]  # state machine, index, command -> result


class CommandRegistry:
    """The commands of a state machine by type, each with the handler that applies it."""

    def __init__(self, handlers: Mapping[type, Handler], base: CommandRegistry | None = None) -> None:
        """`base` holds the commands of the state machine that is extended."""
        self.handlers: dict[type, Handler] = {**(base.handlers if base else {}), **handlers}
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(reduce(or_, self.handlers))

    def decode(self, content: bytes) -> Any:
        """Decode a command of any registered type. Raises msgspec.MsgspecError."""
        return self._decoder.decode(content)

    def apply(self, machine: object, index: int, command: Any) -> object:
        """Apply a command to a state machine and return its result."""
        return self.handlers[type(command)](machine, index, command)
