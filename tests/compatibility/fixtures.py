"""Reads data that an earlier version wrote, and compares structures without their field names."""

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


def load_fixture(name: str):
    if name.endswith(".gz"):
        return json.loads(gzip.decompress((DATA / name).read_bytes()))
    return json.loads((DATA / name).read_text(encoding="utf-8"))


EARLIER_REPRESENTATIONS = {  # of enum members, in the earlier version
    "<Idempotency.IDEMPOTENT: 'repeatable'>": "<Effect.REPEATABLE: 'repeatable'>",
    "<Idempotency.IDEMPOTENCY_KEY: 'deduplicated'>": "<Effect.DEDUPLICATED: 'deduplicated'>",
    "<Idempotency.NON_IDEMPOTENT: 'mutating'>": "<Effect.MUTATING: 'mutating'>",
}


def leaf_values(value: object) -> list[str]:
    """Return the representations of all plain values in a structure, sorted and without field names."""
    if isinstance(value, dict):
        values = [leaf for pair in value.items() for item in pair for leaf in leaf_values(item)]
    elif isinstance(value, list | tuple | set | frozenset):
        values = [leaf for item in value for leaf in leaf_values(item)]
    elif hasattr(value, "__dataclass_fields__"):
        values = [leaf for name in value.__dataclass_fields__ for leaf in leaf_values(getattr(value, name))]
    else:
        values = [EARLIER_REPRESENTATIONS.get(repr(value), repr(value))]
    return sorted(values)


def document_paths(value: object, path: str = "$") -> set[str]:
    """Return the path of each key of a JSON document, and the path of each plain value with its type."""
    if isinstance(value, dict):
        inner = {nested for key, item in value.items() for nested in document_paths(item, f"{path}.{key}")}
        return {f"{path}.{key}" for key in value} | inner
    if isinstance(value, list):
        return {nested for item in value for nested in document_paths(item, f"{path}[]")}
    return {f"{path}: {type(value).__name__}"}


async def assert_same_keys(test: unittest.TestCase, folder: str, expected: dict) -> None:
    """Run a recorded command; check that its exit code and the keys of its JSON output are as recorded."""
    environment = {
        **os.environ,
        "OAKKEEL_SETTINGS": os.path.join(folder, "fleet.xml"),
        "OAKKEEL_OPERATOR": "asha",
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "oakkeel",
        *expected["arguments"],
        "--output",
        "json",
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
    )
    output, _ = await process.communicate()
    document = json.loads(output.splitlines()[0] if expected["arguments"][0] == "watch" else output)
    with test.subTest(expected["arguments"]):
        test.assertEqual(process.returncode, expected["code"])
        test.assertEqual(key_paths(document_paths(document)), key_paths(expected["paths"]))


def key_paths(paths) -> list[str]:
    """Return the sorted paths without types and without plain list items, whose presence varies by run."""
    names = {path.rsplit(": ", 1)[0] for path in paths}
    return sorted(name for name in names if not name.endswith("[]"))
