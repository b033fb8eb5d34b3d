"""Content-addressed store of programs and configurations: one name is the same content on every host."""

from __future__ import annotations

import json
import os
import shutil
from dataclasses import dataclass
from typing import Any

import blake3

from oakkeel.errors import OakkeelError

MAX_FILES = 20_000
MAX_BYTES = 512 * 1024 * 1024
IGNORED_FOLDERS = {"__pycache__", ".git"}
HASH_LENGTH = 32  # hexadecimal digits


class ContentError(OakkeelError, OSError):
    """The content can't be used; the message says why."""


@dataclass(slots=True, frozen=True)
class Content:
    """What a version is made of, each part by its hash; an empty one is as the operators' settings say."""

    program: str = ""  # a folder
    patch: str = ""  # a file, merged into the configuration (RFC 7396)
    config: str = ""  # a whole configuration in place of that of the settings

    @property
    def version(self) -> str:
        """The hash that names this content."""
        return blake3.blake3(f"{self.program}|{self.patch}|{self.config}".encode()).hexdigest()[:HASH_LENGTH]


def hash_file(path: str) -> str:
    """Hash the content of a file. Raises ContentError."""
    try:
        if os.path.getsize(path) > MAX_BYTES:
            raise ContentError(f"{path} has more than {MAX_BYTES} bytes")
        with open(path, "rb") as file:
            return blake3.blake3(file.read()).hexdigest()[:HASH_LENGTH]
    except OSError as error:
        raise ContentError(f"{path}: {error.strerror or error}") from error


def list_files(folder: str) -> list[str]:
    """List the files of a program by relative path, sorted. Raises ContentError."""
    found: list[str] = []
    size = 0
    if not os.path.isdir(folder):
        raise ContentError(f"{folder}: no folder")
    for parent, folders, names in os.walk(folder):
        folders[:] = sorted(name for name in folders if name not in IGNORED_FOLDERS)
        for name in sorted(names):
            path = os.path.join(parent, name)
            if os.path.islink(path) or not os.path.isfile(path):
                raise ContentError(f"{path}: neither file nor folder")
            size += os.path.getsize(path)
            found.append(os.path.relpath(path, folder))
    if len(found) > MAX_FILES or size > MAX_BYTES:
        raise ContentError(
            f"{folder}: {len(found)} files with {size} bytes; {MAX_FILES} and {MAX_BYTES} are allowed"
        )
    return sorted(found)


def hash_folder(folder: str, prefix: str = "") -> str:
    """Hash the names, contents and executable bits of a folder's files.

    `prefix` goes before the names. Raises ContentError.
    """
    hasher = blake3.blake3()
    for name in list_files(folder):
        path = os.path.join(folder, name)
        executable = int(os.access(path, os.X_OK))
        hasher.update(f"{os.path.join(prefix, name)}|{executable}|{hash_file(path)}\n".encode())
    return hasher.hexdigest()[:HASH_LENGTH]


def apply_merge_patch(config: Any, patch: Any) -> Any:
    """Apply a JSON merge patch (RFC 7396): null removes, objects are merged, all else replaces."""
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
        raise ContentError(f"{path}: no JSON object")
    return value


class ContentStore:
    """The copies of one host: `content/HASH` and `VERSION.json` in one folder, each complete or absent."""

    def __init__(self, folder: str) -> None:
        """Use a folder, which need not exist yet."""
        self.folder = folder

    def path(self, name: str) -> str:
        """Return where the copy with this hash is, or would be."""
        return os.path.join(self.folder, "content", name)

    def add_folder(self, folder: str, prefix: str = "") -> str:
        """Copy a folder and return its hash. Raises ContentError, also where it changed during the copy."""
        name = hash_folder(folder, prefix)
        if not os.path.exists(self.path(name)):
            temporary = self._make_temporary(name)
            for file in list_files(folder):
                target = os.path.join(temporary, prefix, file)
                os.makedirs(os.path.dirname(target), exist_ok=True)
                shutil.copy(os.path.join(folder, file), target)
            self._publish(temporary, name, hash_folder(temporary))
        return name

    def add_file(self, path: str) -> str:
        """Copy a file and return its hash. Raises ContentError."""
        name = hash_file(path)
        if not os.path.exists(self.path(name)):
            temporary = self._make_temporary(name)
            shutil.rmtree(temporary)
            shutil.copy(path, temporary)
            self._publish(temporary, name, hash_file(temporary))
        return name

    def _make_temporary(self, name: str) -> str:
        temporary = self.path(f"{name}.new-{os.getpid()}")
        shutil.rmtree(temporary, ignore_errors=True)
        os.makedirs(temporary)
        return temporary

    def _publish(self, temporary: str, name: str, found: str) -> None:
        if found != name:
            raise ContentError(f"{name}: it changed while it was copied")
        os.rename(temporary, self.path(name))

    def add_version(self, content: Content) -> str:
        """Record what a version is made of, and return the version."""
        path = os.path.join(self.folder, f"{content.version}.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump({"program": content.program, "patch": content.patch, "config": content.config}, file)
            file.flush()
            os.fsync(file.fileno())
        os.replace(path + ".new", path)
        return content.version

    def find(self, version: str) -> Content | None:
        """Return what a version is made of, if all of that is here."""
        try:
            recorded = read_json(os.path.join(self.folder, f"{version}.json"))
            content = Content(str(recorded["program"]), str(recorded["patch"]), str(recorded["config"]))
        except (ContentError, KeyError):
            return None
        parts = [part for part in (content.program, content.patch, content.config) if part]
        complete = content.version == version and all(os.path.exists(self.path(part)) for part in parts)
        return content if complete else None

    def prune(self, needed: set[str]) -> list[str]:
        """Remove all versions but the needed ones, with the copies only they used. Returns those removed."""
        removed: list[str] = []
        used: set[str] = set()
        if not os.path.isdir(self.folder):
            return []
        for name in sorted(os.listdir(self.folder)):
            version, extension = os.path.splitext(name)
            if extension != ".json":
                continue
            if version in needed:
                if content := self.find(version):
                    used |= {content.program, content.patch, content.config}
            else:
                os.unlink(os.path.join(self.folder, name))
                removed.append(version)
        self._remove_unused_copies(used)
        return removed

    def _remove_unused_copies(self, used: set[str]) -> None:
        copies = os.path.join(self.folder, "content")
        for name in os.listdir(copies) if os.path.isdir(copies) else ():
            if name not in used:
                path = os.path.join(copies, name)
                shutil.rmtree(path) if os.path.isdir(path) else os.unlink(path)
