"""The commands of a replicated state machine: one decoder for all of them, and a handler for each."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import reduce
from operator import or_
from typing import Any

import msgspec

Handler = Callable[[Any, int, Any], object]  # state machine, index, command -> result


class CommandRegistry:
    """The commands that a state machine takes, by type, with the handler that applies each."""

    def __init__(self, handlers: Mapping[type, Handler], base: CommandRegistry | None = None) -> None:
        """Take the handlers of `base` as well, for a state machine that extends another."""
        self.handlers: dict[type, Handler] = {**(base.handlers if base else {}), **handlers}
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(reduce(or_, self.handlers))

    def decode(self, content: bytes) -> Any:
        """Read a command of any registered type. Raises msgspec.MsgspecError."""
        return self._decoder.decode(content)

    def apply(self, machine: object, index: int, command: Any) -> object:
        """Change the state by a command and return its result."""
        return self.handlers[type(command)](machine, index, command)
