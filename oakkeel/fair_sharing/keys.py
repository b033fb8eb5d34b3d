"""Keys for flows: a keyed hash, so that nobody who knows the code can collide with another flow."""

from __future__ import annotations

from collections.abc import Callable

import blake3

SECRET_BYTES = 32
MAX_LABEL_BYTES = 40  # of a name, for display
LENGTH_PREFIX_BYTES = 4
KEY_BYTES = 8


class FlowKeys:
    """Makes the keys and labels of the flows of a request from the values of its fields."""

    def __init__(self, secret: bytes, fields: tuple[bytes, ...]) -> None:
        """Take `fields` by level, the outermost first; a name is distinct within each outer flow."""
        self.secret = secret
        self.fields = fields

    def flow_keys(self, values: Callable[[bytes], bytes]) -> tuple[tuple[int, bytes], ...]:
        """Return the key and the label of the flow at each level; `values` returns the value of a field."""
        found = []
        path = b""
        for field in self.fields:
            value = values(field)
            # The length makes the paths of two pairs such as (ab, c) and (a, bc) differ.
            path += len(value).to_bytes(LENGTH_PREFIX_BYTES, "big") + value
            key = int.from_bytes(blake3.blake3(path, key=self.secret).digest(KEY_BYTES), "big")
            found.append((key, value[:MAX_LABEL_BYTES]))
        return tuple(found)
