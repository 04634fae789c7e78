"""Claims of several nodes over an in-memory table, for tests."""

from fakes.memory import MemoryObjectStore, MemoryTable
from rattanwick.internal.base.settings import ClaimSettings
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.model.request_records import StoredResponse
from rattanwick.internal.state.claim_types import ServiceCall
from rattanwick.internal.state.claims import Claims

ANSWER = StoredResponse(200, {"Content-Type": "text/plain"}, b"van 3 at 10:00")


class ClaimFixture:
    """A table and object store that the claims of several nodes share."""

    def __init__(self):
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.timers = ManualTimerService()

    def node(self, name: str, table=None, objects=None) -> Claims:
        """Return the claims of a new process of a node."""
        return Claims(
            table or self.table,
            objects or self.objects,
            self.timers,
            ClaimSettings(),
            f"{name}/1",
            clock=self.timers.now,
        )

    def call(self, key="k", digest="d1", seconds=30.0, request_id="req_1"):
        """Return a call with a deadline in ``seconds``."""
        deadline = self.timers.wall_time() + seconds
        return ServiceCall("guayas", "agenda", key, digest, deadline, request_id)
