"""Imports between the modules of oakkeel go from higher to lower layers only.

`tests/control` checks that the sides of a node do not import each other.
"""

import ast
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NODE_SIDES = ("dispatch", "engine", "catalogue", "directory", "control")
# Packages of the control plane from the bottom up: none imports a package that follows it in this list.
CONTROL_PLANE_LAYERS = ("raft", "disruption", "rollout", "agent", "fleet", "rendering", "cli")


def module_name(path: Path) -> str:
    """Return the dotted name of a module's file."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imports_by_module() -> dict[str, set[str]]:
    """Return the modules of oakkeel that each module imports, also those for type checking only."""
    trees = {
        module_name(path): ast.parse(path.read_text(encoding="utf-8"))
        for path in (ROOT / "oakkeel").rglob("*.py")
    }
    imports: dict[str, set[str]] = {name: set() for name in trees}
    for name, tree in trees.items():
        for node in ast.walk(tree):
            if isinstance(node, ast.ImportFrom) and node.module and node.module.split(".")[0] == "oakkeel":
                for alias in node.names:
                    submodule = f"{node.module}.{alias.name}"
                    imports[name].add(submodule if submodule in trees else node.module)
            elif isinstance(node, ast.Import):
                imports[name].update(alias.name for alias in node.names if alias.name in trees)
    return imports


def package_of(module: str) -> str:
    """Return the name of the module's package below oakkeel, or of a module at the top of oakkeel."""
    return module.split(".")[1] if "." in module else ""


class ImportsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.imports = imports_by_module()

    def packages_imported_by(self, package: str) -> set[str]:
        return {
            package_of(imported)
            for module, imports in self.imports.items()
            if package_of(module) == package
            for imported in imports
        }

    def test_finds_the_imports_that_it_checks(self):
        self.assertIn("oakkeel.units", self.imports["oakkeel.backoff"] | self.imports["oakkeel.log"])
        self.assertGreater(sum(len(imports) for imports in self.imports.values()), 300)

    def test_no_modules_import_each_other(self):
        try:
            TopologicalSorter(self.imports).prepare()
        except CycleError as error:
            self.fail(" <- ".join(error.args[1]))

    def test_layers_of_the_control_plane_import_downwards_only(self):
        for number, layer in enumerate(CONTROL_PLANE_LAYERS):
            above = set(CONTROL_PLANE_LAYERS[number + 1 :])
            self.assertEqual(self.packages_imported_by(layer) & above, set(), layer)

    def test_nothing_that_serves_imports_the_tools(self):
        tools = {"emulator", "fakes", "models", "invariants", "demo"}
        for package in ("admission", "fair_sharing", "node", *NODE_SIDES, *CONTROL_PLANE_LAYERS[:-1]):
            self.assertEqual(self.packages_imported_by(package) & tools, set(), package)


if __name__ == "__main__":
    unittest.main()
