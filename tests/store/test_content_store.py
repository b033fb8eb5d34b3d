"""Programs and configurations stored by their content."""

import os
import tempfile
import unittest
import unittest.mock

from oakkeel.store.content_store import Content, ContentError, ContentStore, hash_folder, merged


class ContentStories(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.program = os.path.join(self.folder, "program")
        os.makedirs(os.path.join(self.program, "sub"))
        self.write("run", "#!/bin/sh\n")
        self.write("sub/data", "1")
        self.contents = ContentStore(os.path.join(self.folder, "kept"))

    def write(self, name: str, text: str) -> None:
        with open(os.path.join(self.program, name), "w", encoding="ascii") as file:
            file.write(text)

    def test_a_copy_outlives_what_it_was_made_of(self):
        name = self.contents.keep_folder(self.program)
        version = self.contents.keep(Content(name))
        self.write("sub/data", "2")
        self.assertNotEqual(hash_folder(self.program), name)
        self.assertEqual(hash_folder(self.contents.path(name)), name)
        self.assertEqual(self.contents.find(version), Content(name))
        self.assertEqual(self.contents.keep_folder(self.contents.path(name)), name)

    def test_names_contents_and_rights_all_count(self):
        first = hash_folder(self.program)
        os.chmod(os.path.join(self.program, "run"), 0o755)
        second = hash_folder(self.program)
        os.rename(os.path.join(self.program, "run"), os.path.join(self.program, "runs"))
        self.assertEqual(len({first, second, hash_folder(self.program)}), 3)

    def test_links_and_what_is_not_there_are_refused(self):
        os.symlink("/etc/passwd", os.path.join(self.program, "link"))
        for path in (self.program, os.path.join(self.folder, "none")):
            with self.assertRaises(ContentError):
                self.contents.keep_folder(path)

    def test_what_nothing_needs_is_dropped_and_a_version_with_a_part_gone_is_not_here(self):
        kept = self.contents.keep(Content(self.contents.keep_folder(self.program)))
        self.write("sub/data", "2")
        other = self.contents.keep(Content(self.contents.keep_folder(self.program)))
        self.assertEqual(self.contents.drop_but({kept}), [other])
        self.assertIsNone(self.contents.find(other))
        self.assertIsNotNone(self.contents.find(kept))
        self.assertEqual(len(os.listdir(os.path.join(self.contents.folder, "content"))), 1)

    def test_a_merge_patch_is_as_its_specification_says(self):
        config = {"a": 1, "b": {"c": 2, "d": 3}, "e": [1]}
        patch = {"a": None, "b": {"c": 5, "x": {"y": 1}}, "e": [2]}
        self.assertEqual(merged(config, patch), {"b": {"c": 5, "d": 3, "x": {"y": 1}}, "e": [2]})
        self.assertEqual(config["a"], 1)
