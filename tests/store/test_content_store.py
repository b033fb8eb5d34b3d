"""The content store: copies by hash, pruning, and merge patches."""

import os
import tempfile
import unittest
import unittest.mock

from oakkeel.store.content_store import Content, ContentError, ContentStore, apply_merge_patch, hash_folder


class ContentStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.program = os.path.join(self.folder, "program")
        os.makedirs(os.path.join(self.program, "sub"))
        self.write("run", "#!/bin/sh\n")
        self.write("sub/data", "1")
        self.store = ContentStore(os.path.join(self.folder, "store"))

    def write(self, name: str, text: str) -> None:
        with open(os.path.join(self.program, name), "w", encoding="ascii") as file:
            file.write(text)

    def test_copy_is_independent_of_its_source(self):
        content_hash = self.store.add_folder(self.program)
        version = self.store.add_version(Content(content_hash))
        self.write("sub/data", "2")
        self.assertNotEqual(hash_folder(self.program), content_hash)
        self.assertEqual(hash_folder(self.store.copy_path(content_hash)), content_hash)
        self.assertEqual(self.store.find(version), Content(content_hash))
        self.assertEqual(self.store.add_folder(self.store.copy_path(content_hash)), content_hash)

    def test_hash_covers_names_contents_and_permissions(self):
        first = hash_folder(self.program)
        os.chmod(os.path.join(self.program, "run"), 0o755)
        second = hash_folder(self.program)
        os.rename(os.path.join(self.program, "run"), os.path.join(self.program, "runs"))
        self.assertEqual(len({first, second, hash_folder(self.program)}), 3)

    def test_rejects_links_and_missing_folders(self):
        os.symlink("/etc/passwd", os.path.join(self.program, "link"))
        for path in (self.program, os.path.join(self.folder, "none")):
            with self.assertRaises(ContentError):
                self.store.add_folder(path)

    def test_prunes_unneeded_versions_and_their_copies(self):
        retained = self.store.add_version(Content(self.store.add_folder(self.program)))
        self.write("sub/data", "2")
        unneeded = self.store.add_version(Content(self.store.add_folder(self.program)))
        self.assertEqual(self.store.prune({retained}), [unneeded])
        self.assertIsNone(self.store.find(unneeded))
        self.assertIsNotNone(self.store.find(retained))
        self.assertEqual(len(os.listdir(os.path.join(self.store.folder, "content"))), 1)

    def test_merge_patch_follows_rfc_7396(self):
        config = {"a": 1, "b": {"c": 2, "d": 3}, "e": [1]}
        patch = {"a": None, "b": {"c": 5, "x": {"y": 1}}, "e": [2]}
        self.assertEqual(apply_merge_patch(config, patch), {"b": {"c": 5, "d": 3, "x": {"y": 1}}, "e": [2]})
        self.assertEqual(config["a"], 1)
