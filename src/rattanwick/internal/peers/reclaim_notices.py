"""Publication of the cloud's reclaim notices for endpoints to all nodes."""

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.peers.gossip import ENDPOINT_LEAVING_TOPIC
from rattanwick.internal.peers.interfaces import Gossip, Members, Ownership
from rattanwick.internal.platform.interfaces import CloudApi, InstanceList, Notice

log = get_logger("notices")

POLL_INTERVAL_SECONDS = 1.0
OWNER_KEY = "cloud notices"


class ReclaimNoticeWatcher:
    """Reader of reclaim notices, at one node of each data centre.

    With one reader in each data centre, the load on the cloud API does not depend on
    the number of nodes, and a data centre that is cut off still reads its notices.
    """

    def __init__(
        self,
        cloud: CloudApi,
        members: Members,
        ownership: Ownership,
        gossip: Gossip,
        instances: InstanceList,
        timers: TimerService,
    ):
        self._cloud = cloud
        self._members = members
        self._ownership = ownership
        self._gossip = gossip
        self._instances = instances
        self._timers = timers
        self._published: dict[str, float] = {}  # endpoint id -> Unix seconds
        self._reading = False
        timers.subscribe("notices", POLL_INTERVAL_SECONDS, self.check)

    def check(self) -> None:
        """Read and publish the notices if this node is its data centre's reader."""
        own = self._members.self_node
        reader = self._ownership.owner(OWNER_KEY, own.data_centre)
        if self._reading or reader is None or reader.id != own.id:
            return
        self._reading = True
        try:
            for notice in self._cloud.notices():
                self._publish(notice)
        except StepError as exc:
            log.warning("cannot read the reclaim notices: %s", exc)
        finally:
            self._reading = False

    def _publish(self, notice: Notice) -> None:
        listed_ids = {endpoint.id for endpoint in self._instances.endpoints()}
        endpoint_id = notice.instance_id
        if endpoint_id not in listed_ids:
            return
        if self._published.get(endpoint_id) == notice.not_before:
            return
        self._published[endpoint_id] = notice.not_before
        log.info("publishing the reclaim notice of endpoint %s", endpoint_id)
        # Readers in several data centres publish the same version, so the item is
        # spread only once.
        version = int(notice.not_before * 1000)
        body = {"leaving": True, "not_before": notice.not_before}
        self._gossip.publish(ENDPOINT_LEAVING_TOPIC, endpoint_id, version, body)
