"""Requests whose answers have no body."""

from tests.gateway_case import RelayCase


class HeadRequestTests(RelayCase):
    """Guard against a HEAD request that gets nothing, since its refusal has a body."""

    def test_a_head_request_without_a_route_gets_404(self):
        self.assertEqual(self.ask("/none/x", method="HEAD").status, 404)

    def test_a_head_request_without_an_endpoint_gets_503(self):
        self.assertEqual(self.ask("/safe/x", method="HEAD").status, 503)
