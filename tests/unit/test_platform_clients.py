"""The platform clients follow the published protocols.

Guards against values that change between write and read, pages that are skipped,
lists that are lost after a failed read, and instances that are started twice.
"""

import math
import os
import time
from dataclasses import asdict

from rattanwick.internal.base.errors import Refused, Unavailable
from rattanwick.internal.base.ini import SettingsError
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.model.instances import Endpoint, EndpointKind, Node
from rattanwick.internal.platform.ec2 import Ec2CloudApi
from rattanwick.internal.platform.instance_list import CloudMapInstanceList
from rattanwick.internal.platform.interfaces import (
    InstanceSpec,
    NoticeKind,
    Precondition,
    Write,
)
from rattanwick.internal.platform.object_store import S3ObjectStore
from rattanwick.internal.platform.signing import CredentialsFile, load_credentials
from rattanwick.internal.platform.table import DynamoTable
from tests.platform_process import PlatformTestCase, serve

ENDPOINT = Endpoint(
    id="e1",
    pool="rattan-afila",
    kind=EndpointKind.ENGINE,
    data_centre="duran",
    region="costa-gye",
    host="127.0.0.1",
    port=9000,
    slots=4,
    price=0.25,
    reclaimable=False,
    checks_fencing=True,
    leaving=True,
)
NODE = Node(
    id="n1",
    data_centre="gye-norte",
    region="costa-gye",
    host="127.0.0.1",
    caller_port=1,
    peer_port=2,
    operator_port=3,
    instance_id="i-1",
    incarnation=7,
)


class TableTests(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.table = DynamoTable(self.platform.settings(), self.timers, "n1")

    def test_values_keep_their_types(self):
        values = {
            "i": 1,
            "f": 1.0,
            "b": b"\x00\xff",
            "l": [None, True],
            "m": {"x": "ñ"},
        }
        self.table.put("types#a", values, Precondition.absent(), "t")
        found = self.table.get("types#a").values
        self.assertEqual(found, values)
        self.assertIsInstance(found["f"], float)

    def test_an_item_that_is_not_a_row_is_reported_as_unavailable(self):
        body = b'{"Item": {"kind": {"S": "a"}, "name": {"S": "b"}}}'
        url = serve(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        table = DynamoTable(self.platform.settings(table_url=url), self.timers, "n1")
        self.assertRaises(Unavailable, table.get, "a#b")

    def test_row_versions_increase_with_each_write(self):
        for token in ("a", "b", "c"):
            row = self.table.put("versions#a", {}, Precondition.any(), token)
        self.assertEqual(row.row_version, 3)

    def test_a_query_reads_all_pages_of_one_prefix(self):
        writes = [
            Write(f"pages#{name}", {}, Precondition.absent())
            for name in ("a1", "a2", "a3", "b1")
        ]
        self.table.transact(writes, "pages" * 10)  # longer than the protocol allows
        keys = [row.key for row in self.table.query("pages#a", limit=2)]
        self.assertEqual(keys, ["pages#a1", "pages#a2"])
        self.assertEqual(len(self.table.query("pages#")), 4)

    def test_a_transaction_deletes_rows(self):
        self.table.put("delete#a", {}, Precondition.absent(), "t")
        self.table.transact([Write("delete#a", None, Precondition.version(1))], "d")
        self.assertIsNone(self.table.get("delete#a"))


class ObjectTests(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.objects = S3ObjectStore(self.platform.settings(), self.timers, "n1")

    def test_names_with_reserved_characters_are_kept(self):
        name = "a b/c?d&e=ñ+%20"
        self.objects.put(name, b"data")
        self.assertEqual(self.objects.get(name), b"data")
        self.assertEqual(self.objects.list("a b/"), [name])
        self.objects.delete(name)
        self.objects.delete(name)
        self.assertIsNone(self.objects.get(name))

    def test_a_put_whose_answer_was_lost_is_repeated(self):
        self.platform.faults(lose_object_answers=1)
        self.objects.put("lost", b"data")
        self.assertEqual(self.objects.get("lost"), b"data")

    def test_a_truncated_object_is_not_returned(self):
        url = serve(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
        objects = S3ObjectStore(
            self.platform.settings(object_url=url), self.timers, "n1"
        )
        self.assertRaises(Unavailable, objects.get, "x")

    def test_a_missing_bucket_is_not_reported_as_a_missing_object(self):
        body = b"<Error><Code>NoSuchBucket</Code></Error>"
        head = b"HTTP/1.1 404 X\r\nContent-Length: %d\r\n\r\n" % len(body)
        cfg = self.platform.settings(object_url=serve(head + body))
        self.assertRaises(Unavailable, S3ObjectStore(cfg, self.timers, "n1").get, "x")

    def test_an_outage_raises_unavailable(self):
        self.platform.faults(object_down=True)
        for call in (
            lambda: self.objects.get("x"),
            lambda: self.objects.put("x", b""),
            lambda: self.objects.list(""),
        ):
            self.assertRaises(Unavailable, call)


class InstanceListTests(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualTimerService()
        self.set_instances(ENDPOINT, NODE)
        self.list = CloudMapInstanceList(self.platform.settings(), self.clock, "n1")
        self.clock.advance(0)

    def set_instances(self, *items):
        services = {Endpoint: "endpoints", Node: "nodes"}
        entries = [{"service": services[type(item)], **asdict(item)} for item in items]
        self.platform.admin("PUT", "instances", entries)

    def test_all_fields_are_read(self):
        self.assertEqual(self.list.endpoints("rattan-afila"), (ENDPOINT,))
        self.assertEqual(self.list.endpoints("agenda-vans"), ())
        self.assertEqual(self.list.nodes(), (NODE,))

    def test_a_failed_read_keeps_the_last_list(self):
        self.platform.faults(list_down=True)
        self.clock.advance(12)
        self.assertEqual(self.list.nodes(), (NODE,))
        self.assertGreaterEqual(self.list.age(), 10)

    def test_only_the_revision_of_an_unchanged_list_is_read(self):
        # Guards against more traffic than a node may cause with 990 instances.
        before = self.platform.admin("GET", "counters")["list_whole_reads"]
        self.clock.advance(26)
        counters = self.platform.admin("GET", "counters")
        self.assertEqual(counters["list_whole_reads"], before)

    def test_the_age_before_the_first_read_is_infinite(self):
        fresh = CloudMapInstanceList(self.platform.settings(), self.clock, "n2")
        self.assertEqual(fresh.age(), math.inf)

    def test_subscribers_are_called_only_after_a_change(self):
        calls = []
        self.list.subscribe(lambda: calls.append(self.list.nodes()))
        self.clock.advance(6)
        self.set_instances(NODE)
        self.clock.advance(6)
        self.assertEqual(calls, [(NODE,)])
        self.assertEqual(self.list.endpoints(), ())

    def test_a_lagging_list_returns_an_earlier_state(self):
        self.set_instances(NODE)
        self.list.refresh()
        self.platform.faults(list_lag_seconds=60)
        self.set_instances()
        late = CloudMapInstanceList(self.platform.settings(), self.clock, "n2")
        for instances in (self.list, late):
            instances.refresh()
            self.assertEqual(instances.nodes(), (NODE,))
        self.platform.faults(list_lag_seconds=0)
        for instances in (self.list, late):
            instances.refresh()
            self.assertEqual(instances.nodes(), ())

    def test_an_invalid_entry_is_skipped_and_the_others_are_kept(self):
        bad = {"service": "nodes", **asdict(NODE), "id": "n2", "caller_port": "many"}
        good = {"service": "nodes", **asdict(NODE)}
        self.platform.admin("PUT", "instances", [bad, good])
        self.list.refresh()
        self.assertEqual(self.list.nodes(), (NODE,))


class CloudTests(PlatformTestCase):
    SPEC = InstanceSpec("duran", "gpu-8", True, "rattan-afila")

    def setUp(self):
        super().setUp()
        self.cloud = Ec2CloudApi(self.platform.settings(), self.timers, "n1")
        self.platform.admin("DELETE", "notices")

    def test_a_start_whose_answer_was_lost_starts_one_instance(self):
        before = len(self.platform.admin("GET", "started"))
        self.platform.faults(lose_cloud_answers=1)
        instance_id = self.cloud.start(self.SPEC, "token-1")
        started = self.platform.admin("GET", "started")
        self.assertEqual(len(started), before + 1)
        market = started[instance_id]["InstanceMarketOptions.MarketType"]
        self.assertEqual(market, "spot")
        self.cloud.terminate(instance_id)
        self.assertNotIn(instance_id, self.platform.admin("GET", "started"))

    def test_a_start_without_capacity_is_refused(self):
        self.platform.faults(refuse_starts=True)
        with self.assertRaises(Refused):
            self.cloud.start(self.SPEC, "token-2")

    def test_notices_are_read_for_all_instances_and_for_this_one(self):
        self.assertEqual(self.cloud.notices(), [])
        self.assertIsNone(self.cloud.own_notice())
        moment = round(time.time()) + 20.5
        notice = {"instance_id": "i-1", "kind": "reclaim", "not_before": moment}
        self.platform.admin("POST", "notices", notice)
        (found,) = self.cloud.notices()
        self.assertEqual((found.instance_id, found.kind), ("i-1", NoticeKind.RECLAIM))
        self.assertAlmostEqual(found.not_before, moment, places=2)
        own = self.cloud.own_notice()
        self.assertEqual(own.kind, NoticeKind.RECLAIM)
        self.assertAlmostEqual(own.not_before, moment, places=2)

    def test_notices_are_read_from_all_pages(self):
        event = "<code>instance-stop</code><notBefore>2026-12-04T00:00:00Z</notBefore>"
        closed = f"{event}<description>[Completed] maintenance</description>"
        answers = []
        for name, more in (("i-1", "<nextToken>t</nextToken>"), ("i-2", "")):
            items = f"<item>{event}</item><item>{closed}</item>"
            status = f"<instanceId>{name}</instanceId><eventsSet>{items}</eventsSet>"
            body = f"<instanceStatusSet><item>{status}</item></instanceStatusSet>{more}"
            text = f"<R>{body}</R>".encode()
            answers.append(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text))
            answers[-1] += text
        cfg = self.platform.settings(cloud_url=serve(*answers))
        found = Ec2CloudApi(cfg, self.timers, "n1").notices()
        self.assertEqual([notice.instance_id for notice in found], ["i-1", "i-2"])

    def test_unreadable_metadata_raises_unavailable(self):
        self.platform.faults(metadata_down=True)
        with self.assertRaises(Unavailable):
            self.cloud.own_notice()


class CredentialTests(PlatformTestCase):
    def test_a_wrong_secret_is_rejected_by_each_service(self):
        # The fake checks signatures, so all other tests check them as well.
        wrong = self.platform.credentials.with_name("wrong.ini")
        wrong.write_text("[credentials]\naccess_key = a\nsecret_key = wrong\n")
        cfg = self.platform.settings(credentials_file=str(wrong))
        table = DynamoTable(cfg, self.timers, "n1")
        objects = S3ObjectStore(cfg, self.timers, "n1")
        cloud = Ec2CloudApi(cfg, self.timers, "n1")
        for call in (
            lambda: table.get("a#b"),
            lambda: objects.get("x"),
            lambda: objects.put("x", b"data"),
            cloud.notices,
        ):
            self.assertRaises(Unavailable, call)

    def test_changed_credentials_are_loaded_and_invalid_ones_ignored(self):
        path = self.platform.credentials
        original = path.read_text()
        self.addCleanup(path.write_text, original)
        clock = ManualTimerService()
        file = CredentialsFile(str(path), clock)
        for content, expected in (
            (original.replace("= a", "= b"), "b"),
            ("[credentials]\n", "b"),
        ):
            path.write_text(content)
            os.utime(path, (clock.now(), clock.now()))
            clock.advance(11)
            self.assertEqual(file.current().access_key, expected)

    def test_the_secret_is_not_in_the_repr(self):
        path = str(self.platform.credentials)
        self.assertNotIn("'s'", repr(load_credentials(path)))
        with self.assertRaises(SettingsError):
            load_credentials(f"{path}.absent")
