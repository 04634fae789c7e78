"""The list parser accepts a text or reports its problems, whatever the text.

Guards against texts that raise another error, or are accepted with contents that
contradict each other.
"""

import unittest

from hypothesis import given, settings, strategies as st

from rattanwick.internal.base.ini import SettingsError
from rattanwick.internal.state.list_format import parse_lists

WORDS = st.sampled_from(
    [
        "[plan a]\n",
        "[plan b]\n",
        "[organisation o]\n",
        "[allowance a p]\n",
        "[allowance a]\n",
        "[ ]\n",
        "[]\n",
        "organisations = o\n",
        "organisations =\n",
        "plan = a\n",
        "plan = z\n",
        f"key_hashes = {'0' * 64}\n",
        "tokens_per_minute = 10\n",
        "requests_per_minute = ١\n",
        "max_output_tokens = 1e3\n",
        "max_deadline_seconds = nan\n",
        "max_deadline_seconds = inf\n",
        "priority = -1\n",
        "  continued\n",
        "; comment\n",
        "%(x)s = %%\n",
    ]
)
TEXTS = st.one_of(st.text(max_size=80), st.lists(WORDS, max_size=9).map("".join))


class ListParsingTests(unittest.TestCase):
    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(TEXTS, TEXTS)
    def test_each_text_is_accepted_or_its_problems_are_reported(
        self, plans, allowances
    ):
        try:
            lists = parse_lists(plans, allowances)
        except SettingsError as exc:
            self.assertTrue(exc.problems)
            for problem in exc.problems:
                self.assertIn(problem.file, ("plans.ini", "allowances.ini"))
                self.assertTrue(problem.message and problem.expected)
            return
        for plan, _ in lists.allowances:
            self.assertIn(plan, lists.plans)
        for organisation in lists.organisations.values():
            plan = lists.plans[organisation.plan]
            self.assertIn(organisation.name, plan.organisations)
        for allowance in lists.allowances.values():
            self.assertTrue(0.1 <= allowance.max_deadline_seconds <= 86_400)
