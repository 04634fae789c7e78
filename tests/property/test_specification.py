"""The specifications hold, and the checker rejects each broken variant.

Guards against a change of a protocol that violates one of its invariants, and against
a specification so weak that it accepts a broken protocol.
"""

import unittest

from spec import SPECIFICATIONS
from spec.checking import check_protocol, check_variant


class SpecificationTests(unittest.TestCase):
    def test_every_protocol_keeps_its_invariants_in_all_states(self):
        for specification in SPECIFICATIONS:
            with self.subTest(specification.name):
                verdict = check_protocol(specification)
                self.assertTrue(verdict.passed, verdict.detail)

    def test_every_broken_variant_is_rejected(self):
        for specification in SPECIFICATIONS:
            for variant in specification.variants:
                with self.subTest(f"{specification.name}: {variant.name}"):
                    verdict = check_variant(specification, variant)
                    self.assertTrue(verdict.passed, verdict.detail)
