"""A small file that is complete or absent: a checksum before its content, put in place by a rename."""

from __future__ import annotations

import contextlib
import os

import blake3

from oakkeel.errors import OakkeelError

MAGIC, CHECKSUM_BYTES = b"oakkeel snapshot 1\n", 32
MAX_BYTES = 4 * 1024 * 1024


class SnapshotError(OakkeelError, ValueError):
    """The file is no complete snapshot; the message says why."""


def write(path: str, content: bytes) -> None:
    """Replace the file's content. Raises OSError; the old content stays then."""
    temporary = f"{path}.new"
    with open(os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
        file.write(MAGIC + blake3.blake3(content).digest() + content)
    os.replace(temporary, path)


def read(path: str) -> bytes | None:
    """Return the content; None where there is no file. Raises SnapshotError, or OSError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_BYTES + 1)
    except FileNotFoundError:
        return None
    header = len(MAGIC) + CHECKSUM_BYTES
    if len(data) > MAX_BYTES or not data.startswith(MAGIC) or len(data) < header:
        raise SnapshotError("no snapshot")
    if blake3.blake3(data[header:]).digest() != data[len(MAGIC) : header]:
        raise SnapshotError("damaged, or cut short")
    return data[header:]


def quarantine(path: str) -> str:
    """Rename a file that can't be used; returns its new name."""
    quarantined = f"{path}.bad"
    with contextlib.suppress(OSError):
        os.replace(path, quarantined)
    return quarantined
