"""Every module can be imported.

Guards against an import of a moved or renamed name from its former module, in a module
that no other test imports.
"""

import importlib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PACKAGES = ("src/rattanwick", "bench", "fakes", "scenarios", "spec")


def module_names() -> list[str]:
    """Return the dotted names of the modules of the product and its tools."""
    names = []
    for package in PACKAGES:
        base = ROOT / package
        for path in sorted(base.rglob("*.py")):
            if path.stem != "__main__":
                parts = [base.name, *path.relative_to(base).with_suffix("").parts]
                names.append(".".join(p for p in parts if p != "__init__"))
    return names


class ImportTests(unittest.TestCase):
    def test_all_modules_can_be_imported(self):
        for name in module_names():
            with self.subTest(module=name):
                importlib.import_module(name)
