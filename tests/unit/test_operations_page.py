"""The operators' pages match the program.

Guards against settings, metrics and log prefixes that are missing from the pages, or
that only the pages still name.
"""

import os
import re
import sys
import unittest
from pathlib import Path

from fakes.processes import run_command

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "OPERATIONS.md"
METRIC_PATTERN = re.compile(r"rattanwick_[a-z_]+")
LOGGER_PATTERN = re.compile(r'get_logger\("([a-z]+)"\)')
SCRIPT_TIMEOUT_SECONDS = 60.0
LINK_PATTERN = re.compile(r"\]\(([^)#]+)\)")


class OperationsPageTests(unittest.TestCase):
    def test_generated_tables_of_settings_and_metrics_are_up_to_date(self):
        script = ROOT / "scripts" / "write_operations_page.py"
        command = [sys.executable, str(script), "--check"]
        done = run_command(command, dict(os.environ), SCRIPT_TIMEOUT_SECONDS)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)

    def test_pages_name_only_metrics_that_exist(self):
        text = PAGE.read_text(encoding="utf-8")
        known = set(METRIC_PATTERN.findall(text[text.index("\n## Metrics") :]))
        for page in [PAGE, *sorted((ROOT / "docs" / "operations").glob("*.md"))]:
            named = set(METRIC_PATTERN.findall(page.read_text(encoding="utf-8")))
            with self.subTest(page=page.name):
                self.assertEqual(named - known, set())

    def test_each_log_prefix_is_listed_and_used(self):
        used = set()
        for path in (ROOT / "src").rglob("*.py"):
            used.update(LOGGER_PATTERN.findall(path.read_text(encoding="utf-8")))
        text = PAGE.read_text(encoding="utf-8")
        part = text[text.index("\n## Logs") : text.index("\n## Settings")]
        self.assertEqual(set(re.findall(r"`([a-z]+):`", part)), used)

    def test_links_point_to_existing_files(self):
        for link in LINK_PATTERN.findall(PAGE.read_text(encoding="utf-8")):
            with self.subTest(link=link):
                self.assertTrue((PAGE.parent / link).exists())
