"""A small file with a checksum, replaced atomically by a rename."""

from __future__ import annotations

import contextlib
import os

import blake3

from oakkeel.errors import OakkeelError

MAGIC = b"oakkeel snapshot 1\n"
CHECKSUM_BYTES = 32
MAX_BYTES = 4 * 1024 * 1024  # size of the file, with the magic number and the checksum
FILE_MODE = 0o600  # readable and writable by the owner only


class SnapshotError(OakkeelError, ValueError):
    """The file is not a complete snapshot."""


def write(path: str, content: bytes) -> None:
    """Replace the file's content. If it raises OSError, the old content remains."""
    temporary = f"{path}.new"
    with open(os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE), "wb") as file:
        file.write(MAGIC + blake3.blake3(content).digest() + content)
    os.replace(temporary, path)


def read(path: str) -> bytes | None:
    """Return the content, or None if there is no file. Raises SnapshotError or OSError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_BYTES + 1)
    except FileNotFoundError:
        return None
    header_bytes = len(MAGIC) + CHECKSUM_BYTES
    if len(data) > MAX_BYTES or not data.startswith(MAGIC) or len(data) < header_bytes:
        raise SnapshotError(f"{path} is not a snapshot, or has more than {MAX_BYTES} bytes")
    if blake3.blake3(data[header_bytes:]).digest() != data[len(MAGIC) : header_bytes]:
        raise SnapshotError(f"{path} is damaged or truncated: its checksum differs")
    return data[header_bytes:]


def quarantine(path: str) -> str:
    """Rename a file that can't be used. Returns its new path."""
    quarantined = f"{path}.bad"
    with contextlib.suppress(OSError):
        os.replace(path, quarantined)
    return quarantined
