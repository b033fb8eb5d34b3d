"""A small file that is whole or not there: a checksum before its content, put in place by a rename."""

from __future__ import annotations

import contextlib
import os

import blake3

MAGIC, SUM = b"oakkeel snapshot 1\n", 32
MAX_BYTES = 4 * 1024 * 1024  # bytes


class SnapshotError(ValueError):
    """What is there is no whole snapshot; the text says why."""


def write(path: str, content: bytes) -> None:
    """Raises OSError; what was there before stays then."""
    new = f"{path}.new"
    with open(os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
        file.write(MAGIC + blake3.blake3(content).digest() + content)
    os.replace(new, path)


def read(path: str) -> bytes | None:
    """The content; None where there is none. Raises SnapshotError, or OSError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_BYTES + 1)
    except FileNotFoundError:
        return None
    head = len(MAGIC) + SUM
    if len(data) > MAX_BYTES or not data.startswith(MAGIC) or len(data) < head:
        raise SnapshotError("no snapshot")
    if blake3.blake3(data[head:]).digest() != data[len(MAGIC) : head]:
        raise SnapshotError("damaged, or cut short")
    return data[head:]


def set_aside(path: str) -> str:
    """Put it out of the way; returns its new name."""
    aside = f"{path}.bad"
    with contextlib.suppress(OSError):
        os.replace(path, aside)
    return aside
