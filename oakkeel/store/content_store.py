"""Programs and configurations kept by what is in them: the same name is the same content, on every host."""

from __future__ import annotations

import json
import os
import shutil
from dataclasses import dataclass
from typing import Any

import blake3

MAX_FILES = 20_000
MAX_BYTES = 512 * 1024 * 1024
PASSED_OVER = {"__pycache__", ".git"}
NAME = 32  # characters of a hash


class ContentError(OSError):
    """The content can't be used; the text says why."""


@dataclass(slots=True, frozen=True)
class Content:
    """What a version is made of, each by its hash; empty: as the operators' settings say."""

    program: str = ""  # a folder
    patch: str = ""  # a file, merged into the configuration (RFC 7396)
    config: str = ""  # a whole configuration in place of that of the settings

    @property
    def version(self) -> str:
        return blake3.blake3(f"{self.program}|{self.patch}|{self.config}".encode()).hexdigest()[:NAME]


def hash_file(path: str) -> str:
    """Raises ContentError."""
    try:
        if os.path.getsize(path) > MAX_BYTES:
            raise ContentError(f"{path} has more than {MAX_BYTES} bytes")
        with open(path, "rb") as file:
            return blake3.blake3(file.read()).hexdigest()[:NAME]
    except OSError as error:
        raise ContentError(f"{path}: {error.strerror or error}") from None


def files_of(folder: str) -> list[str]:
    """Relative paths of the files of a program, sorted. Raises ContentError."""
    found: list[str] = []
    size = 0
    if not os.path.isdir(folder):
        raise ContentError(f"{folder}: no folder")
    for place, folders, names in os.walk(folder):
        folders[:] = sorted(each for each in folders if each not in PASSED_OVER)
        for name in sorted(names):
            path = os.path.join(place, name)
            if os.path.islink(path) or not os.path.isfile(path):
                raise ContentError(f"{path}: neither file nor folder")
            size += os.path.getsize(path)
            found.append(os.path.relpath(path, folder))
    if len(found) > MAX_FILES or size > MAX_BYTES:
        raise ContentError(
            f"{folder}: {len(found)} files with {size} bytes; {MAX_FILES} and {MAX_BYTES} are allowed"
        )
    return sorted(found)


def hash_folder(folder: str, under: str = "") -> str:
    """Of names, contents and whether each file may be executed; `under` goes before the names. Raises
    ContentError."""
    whole = blake3.blake3()
    for name in files_of(folder):
        path = os.path.join(folder, name)
        runs = int(os.access(path, os.X_OK))
        whole.update(f"{os.path.join(under, name)}|{runs}|{hash_file(path)}\n".encode())
    return whole.hexdigest()[:NAME]


def merged(config: Any, patch: Any) -> Any:
    """A JSON merge patch (RFC 7396): null takes out, objects are merged, all else is put in place."""
    if not isinstance(patch, dict):
        return patch
    result = dict(config) if isinstance(config, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = merged(result.get(name), value)
    return result


def read_json(path: str) -> dict[str, Any]:
    """Raises ContentError."""
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError) as error:
        raise ContentError(f"{path}: {error}") from None
    if not isinstance(told, dict):
        raise ContentError(f"{path}: no JSON object")
    return told


class ContentStore:
    """The copies of one host: `content/HASH` and `VERSION.json` in one folder, each whole or not there."""

    def __init__(self, folder: str) -> None:
        self.folder = folder

    def path(self, name: str) -> str:
        return os.path.join(self.folder, "content", name)

    def keep_folder(self, folder: str, under: str = "") -> str:
        """Raises ContentError, also where it changed while it was copied."""
        name = hash_folder(folder, under)
        if not os.path.exists(self.path(name)):
            new = self._new(name)
            for each in files_of(folder):
                to = os.path.join(new, under, each)
                os.makedirs(os.path.dirname(to), exist_ok=True)
                shutil.copy(os.path.join(folder, each), to)
            self._put(new, name, hash_folder(new))
        return name

    def keep_file(self, path: str) -> str:
        """Raises ContentError."""
        name = hash_file(path)
        if not os.path.exists(self.path(name)):
            new = self._new(name)
            shutil.rmtree(new)
            shutil.copy(path, new)
            self._put(new, name, hash_file(new))
        return name

    def _new(self, name: str) -> str:
        new = self.path(f"{name}.new-{os.getpid()}")
        shutil.rmtree(new, ignore_errors=True)
        os.makedirs(new)
        return new

    def _put(self, new: str, name: str, found: str) -> None:
        if found != name:
            raise ContentError(f"{name}: it changed while it was copied")
        os.rename(new, self.path(name))

    def keep(self, content: Content) -> str:
        """Name what is kept. Returns the version."""
        path = os.path.join(self.folder, f"{content.version}.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump({"program": content.program, "patch": content.patch, "config": content.config}, file)
            file.flush()
            os.fsync(file.fileno())
        os.replace(path + ".new", path)
        return content.version

    def find(self, version: str) -> Content | None:
        """What a version is made of, if all of that is here."""
        try:
            told = read_json(os.path.join(self.folder, f"{version}.json"))
            content = Content(str(told["program"]), str(told["patch"]), str(told["config"]))
        except (ContentError, KeyError):
            return None
        parts = [each for each in (content.program, content.patch, content.config) if each]
        whole = content.version == version and all(os.path.exists(self.path(each)) for each in parts)
        return content if whole else None

    def drop_but(self, versions: set[str]) -> list[str]:
        """Forget all other versions and what only they were made of. Returns those."""
        dropped, used = [], set()
        if not os.path.isdir(self.folder):
            return []
        for name in sorted(os.listdir(self.folder)):
            version, ending = os.path.splitext(name)
            if ending != ".json":
                continue
            if version in versions:
                if content := self.find(version):
                    used |= {content.program, content.patch, content.config}
            else:
                os.unlink(os.path.join(self.folder, name))
                dropped.append(version)
        kept = os.path.join(self.folder, "content")
        for name in os.listdir(kept) if os.path.isdir(kept) else ():
            if name not in used:
                path = os.path.join(kept, name)
                shutil.rmtree(path) if os.path.isdir(path) else os.unlink(path)
        return dropped
