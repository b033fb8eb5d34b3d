"""Keys for senders: a keyed hash, so that nobody who knows the code can aim at another's place."""

from __future__ import annotations

from collections.abc import Callable

import blake3

SECRET, LABEL = 32, 40  # bytes; what is kept of a name, for people


class FlowKeys:
    """Makes the keys and labels of an exchange's senders from the values of its fields."""

    def __init__(self, secret: bytes, fields: tuple[bytes, ...]) -> None:
        """`fields` by level, the outermost first; the same name within another outer sender is another."""
        self.secret, self.fields = secret, fields

    def flow_keys(self, values: Callable[[bytes], bytes]) -> tuple[tuple[int, bytes], ...]:
        found, path = [], b""
        for field in self.fields:
            value = values(field)
            path += len(value).to_bytes(4, "big") + value  # or two paths could read the same
            key = int.from_bytes(blake3.blake3(path, key=self.secret).digest(8), "big")
            found.append((key, value[:LABEL]))
        return tuple(found)
