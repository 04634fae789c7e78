"""Answers that do not depend on what the log can print."""

from unittest import mock

from tests.gateway_case import RelayCase


class UnprintableError(Exception):
    """Exception whose text has more digits than Python converts."""

    def __repr__(self):
        return str(10**5000)


class AnswerGuardTests(RelayCase):
    """Guard against a log line that keeps a caller from its answer."""

    def test_an_exception_that_cannot_be_printed_gets_503(self):
        self.add_endpoint("i-1")
        with mock.patch.object(
            self.state.endpoints, "of_service", side_effect=UnprintableError()
        ):
            self.assertEqual(self.ask("/safe/x").status, 503)
