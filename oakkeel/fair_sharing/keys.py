"""Keys for flows: a keyed hash, so that nobody who knows the code can collide with another flow."""

from __future__ import annotations

from collections.abc import Callable

import blake3

SECRET, LABEL = 32, 40  # bytes; the part of a name that is shown


class FlowKeys:
    """Makes the keys and labels of the flows of a request from the values of its fields."""

    def __init__(self, secret: bytes, fields: tuple[bytes, ...]) -> None:
        """Take `fields` by level, the outermost first; the same name within another outer flow is another."""
        self.secret, self.fields = secret, fields

    def flow_keys(self, values: Callable[[bytes], bytes]) -> tuple[tuple[int, bytes], ...]:
        """Return a key and a label for each level."""
        found, path = [], b""
        for field in self.fields:
            value = values(field)
            path += len(value).to_bytes(4, "big") + value  # or two paths could read the same
            key = int.from_bytes(blake3.blake3(path, key=self.secret).digest(8), "big")
            found.append((key, value[:LABEL]))
        return tuple(found)
