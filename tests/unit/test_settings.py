"""The settings file is checked as a whole, with one problem for each mistake.

Guards against checks that stop at the first problem, so that an operator needs a run
for each, and against problems that do not say what to write.
"""

import tempfile
import unittest
from pathlib import Path

from rattanwick.cli import main
from rattanwick.internal.base.ini import SettingsError
from rattanwick.internal.base.settings import load_settings, parse_settings
from rattanwick.internal.commands.check import EXIT_INVALID_INPUT

VALID = """
[node]
id = node-1
data_centre = gye-norte
region = costa-gye
[callers]
address = 127.0.0.1
port = 8080
[operators]
address = 127.0.0.1
port = 8081
[peers]
address = 127.0.0.1
port = 8082
secret_file = {secret}
[platform]
table_url = http://127.0.0.1:9000
object_url = http://127.0.0.1:9000
instance_list_url = http://127.0.0.1:9000
cloud_url = http://127.0.0.1:9000
credentials_file = {secret}
region = costa-gye
"""


class SettingsTests(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        secret = Path(self.folder.name, "secret")
        secret.write_text("secret", encoding="utf-8")
        self.valid = VALID.format(secret=secret)

    def test_a_minimal_file_is_accepted_with_defaults(self):
        settings = parse_settings("node.ini", self.valid)
        self.assertEqual(settings.node.id, "node-1")
        self.assertEqual(settings.peers.heartbeat_seconds, 1.0)

    def test_every_problem_is_reported_in_one_run(self):
        broken = (
            self.valid.replace("id = node-1", "id = Node One")
            .replace("port = 8080", "port = 99999")
            .replace("[operators]\naddress = 127.0.0.1", "[operators]\naddress = here")
            .replace("region = costa-gye\n[callers]", "regoin = costa-gye\n[callers]")
        )
        with self.assertRaises(SettingsError) as caught:
            parse_settings("node.ini", broken)
        sections_and_keys = {
            (problem.section, problem.key) for problem in caught.exception.problems
        }
        self.assertEqual(
            sections_and_keys,
            {
                ("node", "id"),
                ("node", "region"),
                ("node", "regoin"),
                ("callers", "port"),
                ("operators", "address"),
            },
        )
        for problem in caught.exception.problems:
            self.assertTrue(problem.message)
            self.assertTrue(problem.expected)

    def test_check_exits_with_2_for_a_missing_file(self):
        missing = str(Path(self.folder.name, "missing.ini"))
        with self.assertRaises(SettingsError):
            load_settings(missing)
        self.assertEqual(main(["check", "--config", missing]), EXIT_INVALID_INPUT)
