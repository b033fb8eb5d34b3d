"""Keys of flows: keyed hashes, so that no client can craft a name that collides with another flow."""

from __future__ import annotations

from collections.abc import Callable

import blake3

SECRET_BYTES = 32
MAX_LABEL_BYTES = 40  # a longer name is truncated for display
LENGTH_PREFIX_BYTES = 4
KEY_BYTES = 8


class FlowKeys:
    """Computes the keys and labels of the flows of a request from the values of its fields."""

    def __init__(self, secret: bytes, fields: tuple[bytes, ...]) -> None:
        """Use one of the `fields` for each level, the outermost first.

        The same value of an inner field gives distinct flows for two outer flows.
        """
        self.secret = secret
        self.fields = fields

    def flow_keys(self, field_value: Callable[[bytes], bytes]) -> tuple[tuple[int, bytes], ...]:
        """Return the key and the label of the flow at each level; `field_value` looks up a field."""
        keys = []
        path = b""
        for field in self.fields:
            value = field_value(field)
            # The length keeps the paths of pairs such as (ab, c) and (a, bc) distinct.
            path += len(value).to_bytes(LENGTH_PREFIX_BYTES, "big") + value
            key = int.from_bytes(blake3.blake3(path, key=self.secret).digest(KEY_BYTES), "big")
            keys.append((key, value[:MAX_LABEL_BYTES]))
        return tuple(keys)
