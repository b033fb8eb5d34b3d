"""Content-addressed store of programs and configurations: a hash names the same content on every host."""

from __future__ import annotations

import json
import os
import shutil
from dataclasses import dataclass
from typing import Any

import blake3

from oakkeel.errors import OakkeelError

MAX_FILES = 20_000  # number of files in a program
MAX_BYTES = 512 * 1024 * 1024  # size of a program or a file
IGNORED_FOLDERS = {"__pycache__", ".git"}
HASH_LENGTH = 32  # hexadecimal digits


class ContentError(OakkeelError, OSError):
    """The content can't be read, copied or used; the message names the path and the cause."""


@dataclass(slots=True, frozen=True)
class Content:
    """The hashes of the parts of a version. Where a hash is empty, the operators' settings apply."""

    program: str = ""  # a folder
    patch: str = ""  # a file, merged into the configuration (RFC 7396)
    config: str = ""  # a file that replaces the whole configuration of the settings

    @property
    def version(self) -> str:
        """Return the hash that names this content."""
        return blake3.blake3(f"{self.program}|{self.patch}|{self.config}".encode()).hexdigest()[:HASH_LENGTH]


def hash_file(path: str) -> str:
    """Return the hash of a file's content. Raises ContentError."""
    try:
        if os.path.getsize(path) > MAX_BYTES:
            raise ContentError(f"{path} has more than the {MAX_BYTES} bytes that are allowed")
        with open(path, "rb") as file:
            return blake3.blake3(file.read()).hexdigest()[:HASH_LENGTH]
    except OSError as error:
        raise ContentError(f"{path}: {error.strerror or error}") from error


def list_files(folder: str) -> list[str]:
    """Return the relative paths of a program's files, sorted. Raises ContentError."""
    paths: list[str] = []
    size = 0
    if not os.path.isdir(folder):
        raise ContentError(f"{folder} is not a folder")
    for parent, folders, names in os.walk(folder):
        folders[:] = sorted(name for name in folders if name not in IGNORED_FOLDERS)
        for name in sorted(names):
            path = os.path.join(parent, name)
            if os.path.islink(path) or not os.path.isfile(path):
                raise ContentError(f"{path} is neither a file nor a folder")
            size += os.path.getsize(path)
            paths.append(os.path.relpath(path, folder))
    if len(paths) > MAX_FILES or size > MAX_BYTES:
        raise ContentError(
            f"{folder} has {len(paths)} files with {size} bytes;"
            f" {MAX_FILES} files with {MAX_BYTES} bytes are allowed"
        )
    return sorted(paths)


def hash_folder(folder: str, prefix: str = "") -> str:
    """Return the hash of the names, contents and executable bits of a folder's files.

    `prefix` is a folder to prepend to the names. Raises ContentError.
    """
    hasher = blake3.blake3()
    for name in list_files(folder):
        path = os.path.join(folder, name)
        executable = int(os.access(path, os.X_OK))
        hasher.update(f"{os.path.join(prefix, name)}|{executable}|{hash_file(path)}\n".encode())
    return hasher.hexdigest()[:HASH_LENGTH]


def apply_merge_patch(config: Any, patch: Any) -> Any:
    """Apply a JSON merge patch (RFC 7396): null removes, objects are merged, other values replace."""
    if not isinstance(patch, dict):
        return patch
    result = dict(config) if isinstance(config, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = apply_merge_patch(result.get(name), value)
    return result


def read_json(path: str) -> dict[str, Any]:
    """Read a JSON object from a file. Raises ContentError."""
    try:
        with open(path, encoding="utf-8") as file:
            value = json.load(file)
    except (OSError, ValueError) as error:
        raise ContentError(f"{path}: {error}") from error
    if not isinstance(value, dict):
        raise ContentError(f"{path} is not a JSON object")
    return value


class ContentStore:
    """The programs and configurations that are stored on one host.

    The folder has a copy `content/HASH` of each program or file, and a record `VERSION.json` of each version.
    Each is written atomically.
    """

    def __init__(self, folder: str) -> None:
        """Use a folder, which need not exist yet."""
        self.folder = folder

    def copy_path(self, content_hash: str) -> str:
        """Return the path of the copy with a hash; the copy need not exist."""
        return os.path.join(self.folder, "content", content_hash)

    def add_folder(self, folder: str, prefix: str = "") -> str:
        """Copy a folder and return its hash. Raises ContentError, also if the folder changes in between."""
        content_hash = hash_folder(folder, prefix)
        if not os.path.exists(self.copy_path(content_hash)):
            temporary = self._make_temporary(content_hash)
            for relative_path in list_files(folder):
                target = os.path.join(temporary, prefix, relative_path)
                os.makedirs(os.path.dirname(target), exist_ok=True)
                shutil.copy(os.path.join(folder, relative_path), target)
            self._publish(temporary, content_hash, hash_folder(temporary))
        return content_hash

    def add_file(self, path: str) -> str:
        """Copy a file and return its hash. Raises ContentError."""
        content_hash = hash_file(path)
        if not os.path.exists(self.copy_path(content_hash)):
            temporary = self._make_temporary(content_hash)
            shutil.rmtree(temporary)
            shutil.copy(path, temporary)
            self._publish(temporary, content_hash, hash_file(temporary))
        return content_hash

    def _make_temporary(self, content_hash: str) -> str:
        temporary = self.copy_path(f"{content_hash}.new-{os.getpid()}")
        shutil.rmtree(temporary, ignore_errors=True)
        os.makedirs(temporary)
        return temporary

    def _publish(self, temporary: str, content_hash: str, copy_hash: str) -> None:
        if copy_hash != content_hash:
            raise ContentError(
                f"the source of {self.copy_path(content_hash)} changed during the copy: try again"
            )
        os.rename(temporary, self.copy_path(content_hash))

    def add_version(self, content: Content) -> str:
        """Record the hashes of the parts of a version, and return the hash that names the version."""
        path = os.path.join(self.folder, f"{content.version}.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump({"program": content.program, "patch": content.patch, "config": content.config}, file)
            file.flush()
            os.fsync(file.fileno())
        os.replace(path + ".new", path)
        return content.version

    def find(self, version: str) -> Content | None:
        """Return the hashes of a version's parts; None if its record is unusable or a copy is missing."""
        try:
            record = read_json(os.path.join(self.folder, f"{version}.json"))
            content = Content(str(record["program"]), str(record["patch"]), str(record["config"]))
        except (ContentError, KeyError):
            return None
        parts = [part for part in (content.program, content.patch, content.config) if part]
        is_complete = content.version == version and all(
            os.path.exists(self.copy_path(part)) for part in parts
        )
        return content if is_complete else None

    def prune(self, needed: set[str]) -> list[str]:
        """Remove the versions not in `needed`, and copies without a version. Returns the removed versions."""
        removed_versions: list[str] = []
        used_hashes: set[str] = set()
        if not os.path.isdir(self.folder):
            return []
        for name in sorted(os.listdir(self.folder)):
            version, extension = os.path.splitext(name)
            if extension != ".json":
                continue
            if version in needed:
                if content := self.find(version):
                    used_hashes |= {content.program, content.patch, content.config}
            else:
                os.unlink(os.path.join(self.folder, name))
                removed_versions.append(version)
        self._remove_unused_copies(used_hashes)
        return removed_versions

    def _remove_unused_copies(self, used_hashes: set[str]) -> None:
        copies = os.path.join(self.folder, "content")
        if not os.path.isdir(copies):
            return
        for name in os.listdir(copies):
            if name in used_hashes:
                continue
            path = os.path.join(copies, name)
            if os.path.isdir(path):
                shutil.rmtree(path)
            else:
                os.unlink(path)
