"""Reads what an earlier version wrote, and compares structures whatever their fields are called."""

import asyncio
import gzip
import json
import os
import subprocess
import sys
import unittest
from pathlib import Path

DATA = Path(__file__).parent / "data"


HOSTS = {"h1": ["n1a", "n1b"], "h2": ["n2a", "n2b"], "h3": ["n3a", "n3b"]}


def load(name: str):
    if name.endswith(".gz"):
        return json.loads(gzip.decompress((DATA / name).read_bytes()))
    return json.loads((DATA / name).read_text(encoding="utf-8"))


RENAMED = {  # members of enums, as the old version called them
    "<Idempotency.IDEMPOTENT: 'repeatable'>": "<Effect.REPEATABLE: 'repeatable'>",
    "<Idempotency.IDEMPOTENCY_KEY: 'deduplicated'>": "<Effect.DEDUPLICATED: 'deduplicated'>",
    "<Idempotency.NON_IDEMPOTENT: 'mutating'>": "<Effect.MUTATING: 'mutating'>",
}


def leaves(value: object) -> list[str]:
    """All plain values in a structure, as sorted texts: what they are called does not count."""
    if isinstance(value, dict):
        found = [leaf for pair in value.items() for each in pair for leaf in leaves(each)]
    elif isinstance(value, list | tuple | set | frozenset):
        found = [leaf for each in value for leaf in leaves(each)]
    elif hasattr(value, "__dataclass_fields__"):
        found = [leaf for name in value.__dataclass_fields__ for leaf in leaves(getattr(value, name))]
    else:
        found = [RENAMED.get(repr(value), repr(value))]
    return sorted(found)


def paths(value: object, path: str = "$") -> set[str]:
    """The keys of a JSON document with the types of its values."""
    if isinstance(value, dict):
        inner = {found for key, each in value.items() for found in paths(each, f"{path}.{key}")}
        return {f"{path}.{key}" for key in value} | inner
    if isinstance(value, list):
        return {found for each in value for found in paths(each, f"{path}[]")}
    return {f"{path}: {type(value).__name__}"}


async def assert_same_keys(test: unittest.TestCase, folder: str, row: dict) -> None:
    variables = {
        **os.environ,
        "OAKKEEL_SETTINGS": os.path.join(folder, "fleet.xml"),
        "OAKKEEL_OPERATOR": "asha",
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "oakkeel",
        *row["arguments"],
        "--output",
        "json",
        env=variables,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
    )
    printed, _ = await process.communicate()
    document = json.loads(printed.splitlines()[0] if row["arguments"][0] == "watch" else printed)
    with test.subTest(row["arguments"]):
        test.assertEqual(process.returncode, row["code"])
        test.assertEqual(keys_of(paths(document)), keys_of(row["paths"]))


def keys_of(found) -> list[str]:
    """Without the types, and without plain list items: those may be there or not, by what happens."""
    names = {path.rsplit(": ", 1)[0] for path in found}
    return sorted(name for name in names if not name.endswith("[]"))
