"""Settings, key files and snapshot files of an earlier version."""

import tempfile
import unittest
from pathlib import Path

import msgspec

from oakkeel.fair_sharing import persistence
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import write_key
from oakkeel.store import snapshot_file
from tests.compatibility.fixtures import DATA, leaf_values, load_fixture


class FileCompatibilityTest(unittest.TestCase):
    def test_settings_are_read_to_the_same_values(self):
        fleet = read_fleet(str(DATA / "fleet.xml"))
        self.assertEqual(
            [leaf.replace(str(DATA), "HERE") for leaf in leaf_values(fleet)], load_fixture("settings.json")
        )

    def test_a_snapshot_of_fair_shares_is_read_and_written_with_the_same_bytes(self):
        content = snapshot_file.read(str(DATA / "fair-shares.snapshot"))
        snapshot = persistence.decode_snapshot(content, 1_700_000_001_000_000_000, ("tenant", "via"))
        self.assertEqual(msgspec.msgpack.encode(snapshot), content)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "snapshot"
            snapshot_file.write(str(path), content)
            self.assertEqual(path.read_bytes(), (DATA / "fair-shares.snapshot").read_bytes())

    def test_a_key_file_is_written_with_the_same_bytes(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "key"
            write_key(str(path), bytes(range(32)))
            self.assertEqual(path.read_bytes(), (DATA / "operator.key").read_bytes())
