"""Requests of a service while an entry among its endpoints is odd."""

from unittest.mock import patch

from rattanwick.internal.gateway.connection_pool import connection_keys
from rattanwick.internal.gateway.interfaces import StoredRow, Version
from tests.gateway_case import RelayCase
from tests.odd_values import ENTRY, encode, odd_entries


class OddEntryTests(RelayCase):
    """Guard against an entry that ends the requests of its service.

    An entry whose slots or port do not fit into a machine number, or whose host cannot
    be encoded, closed the connection of each request that was placed on it.
    """

    def apply(self, key: str, value: bytes) -> None:
        """Apply an entry together with that of a sound endpoint."""
        sound = encode({**ENTRY, "address": self.sound.address})
        rows = {
            key: StoredRow(key, value, Version(1, 1)),
            "sound": StoredRow("sound", sound, Version(1, 2)),
        }
        self.state.endpoints.apply(rows, set(rows), None)

    def setUp(self):
        super().setUp()
        (self.sound,) = self.replace_endpoints("sound")

    def test_an_odd_entry_names_no_endpoint_and_the_others_hold(self):
        for name, value in odd_entries():
            with self.subTest(name):
                with self.assertLogs("rattanwick.endpoints", "WARNING") as logs:
                    self.apply("odd", value)
                (record,) = logs.records
                self.assertEqual(record.endpoint, "odd")
                self.assertLess(len(record.error), 200)
                self.check_only_sound_endpoint_is_used()

    def test_a_key_that_cannot_be_sent_names_no_endpoint(self):
        """Guard against a key that no header can hold, for which requests ended."""
        value = encode({**ENTRY, "address": self.sound.address})
        for key in ("ключ", "a b", "a\r\nb", "\ud800", "", "k" * 201):
            with self.subTest(key=key):
                self.apply(key, value)
                self.assertIsNone(self.state.endpoints.get(key))
                self.check_only_sound_endpoint_is_used()

    def test_an_entry_that_cannot_be_applied_does_not_hide_the_others(self):
        """Guard against endpoints that a node does not know until their next change."""
        decode = self.state.endpoints._codec.decode_endpoint

        def fail(key: str, value: bytes):
            if key == "odd":
                raise OverflowError("unexpected failure")
            return decode(key, value)

        self.apply("odd", encode(ENTRY))
        self.state.endpoints._views.pop("sound")
        with patch.object(self.state.endpoints._codec, "decode_endpoint", fail):
            self.apply("odd", encode({**ENTRY, "slots": 9}))
        self.check_only_sound_endpoint_is_used()

    def check_only_sound_endpoint_is_used(self):
        """Check the endpoints in use, and that requests of both kinds are served."""
        views = self.state.endpoints.all()
        self.assertEqual([view.endpoint.id for view in views], ["sound"])
        connection_keys([view.endpoint for view in views])
        for path in ("/safe/x", "/unsafe/x"):
            self.assertEqual(self.ask(path).status, 200)
