"""The deploy file lists every file that a node loads."""

import subprocess
import sys
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PRINT_LOADED = """
import importlib, pkgutil, sys
import oakkeel.__main__, oakkeel.admission.fairness, oakkeel.node
for module in pkgutil.iter_modules(oakkeel.node.__path__):
    importlib.import_module("oakkeel.node." + module.name)
for name, module in list(sys.modules.items()):
    if name.split(".")[0] == "oakkeel":
        print(module.__file__)
"""


class DeployListsTest(unittest.TestCase):
    def setUp(self) -> None:
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            deploy = tomllib.load(file)
        self.policy = [ROOT / path for path in deploy["policy"]]
        self.node = [ROOT / path for path in deploy["node"]]

    def test_each_listed_file_exists(self):
        for path in (*self.policy, *self.node):
            self.assertTrue(path.exists(), path)

    def test_no_file_is_listed_twice(self):
        listed = [*self.policy, *self.node]
        self.assertEqual(len(listed), len(set(listed)))

    def test_each_file_of_admission_is_listed(self):
        listed = {*self.policy, *self.node}
        for path in (ROOT / "oakkeel" / "admission").glob("*.py"):
            self.assertIn(path, listed)

    def test_each_module_that_a_node_loads_is_covered(self):
        command = [sys.executable, "-c", PRINT_LOADED]
        loaded = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout.split()
        self.assertGreater(len(loaded), 50)
        for file in map(Path, loaded):
            covered = any(path == file or path in file.parents for path in (*self.policy, *self.node))
            self.assertTrue(covered, file)


if __name__ == "__main__":
    unittest.main()
