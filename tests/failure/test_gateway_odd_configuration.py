"""Requests while the operator's configuration in the store is odd."""

from rattanwick.internal.gateway.interfaces import StoredRow, Version
from rattanwick.internal.gateway.operator_configuration import OperatorConfiguration
from rattanwick.platform.codec import PlatformCodec
from tests.gateway_case import RelayCase
from tests.odd_values import CONFIGURATION, encode, odd_configurations


class OddConfigurationTests(RelayCase):
    """Guard against a configuration that ends requests or is used in part."""

    def setUp(self):
        super().setUp()
        self.configuration = OperatorConfiguration(self.state, PlatformCodec())
        self.replace_endpoints("i-1")

    def apply(self, value: bytes) -> None:
        """Apply a row that holds a configuration."""
        self.configuration.apply_rows(
            {"config": StoredRow("config", value, Version(1, 1))}, {"config"}
        )

    def test_an_odd_configuration_changes_nothing(self):
        self.apply(encode(CONFIGURATION))
        known = self.state.configuration
        self.assertEqual(known.version, 7)
        for name, value in odd_configurations():
            with self.subTest(name):
                with self.assertLogs("rattanwick.node", "ERROR") as logs:
                    self.apply(value.replace(b'"version": 7', b'"version": 8'))
                self.assertLess(len(logs.records[0].error), 200)
                self.assertIs(self.state.configuration, known)
        self.assertEqual(self.ask("/safe/x").status, 200)

    def test_a_route_to_a_service_that_is_not_there_is_refused(self):
        """Guard against such a route that ends requests, or hides the other routes."""
        (route,) = CONFIGURATION["routes"]
        lost = {**route, "prefix": "/lost/", "split": [], "service": "none"}
        self.apply(encode({**CONFIGURATION, "routes": [route, lost]}))
        self.assertEqual(self.ask("/lost/x").status, 503)
        self.assertEqual(self.ask("/safe/x").status, 200)
