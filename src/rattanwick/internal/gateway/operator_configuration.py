"""The operator's configuration as this node knows it.

The operator's versions only rise. The row in the store may be older than the version
in force, or missing, after the store was restored from an older copy.
"""

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import gauge
from rattanwick.internal.gateway.interfaces import MessageCodec, StoredRow, Version
from rattanwick.internal.gateway.model import Configuration
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.shapes import MAX_EXACT_INTEGER

log = get_logger("node")

configuration_version = gauge(
    "configuration_version", "Version of the configuration in force"
)

# A node that starts waits this long to hear from all members which version they have.
# A member sends its state at the latest 0.8 s after it knows of the node.
START_WAIT_SECONDS = 1.0
MAX_START_WAIT_SECONDS = 4.0  # if a member has a newer one that does not arrive


class OperatorConfiguration:
    """The newest known configuration and the bytes that it was decoded from.

    A node that starts puts it into force only once it has heard from the members, since
    they may have a newer one than the store. The first start of a deployment has none
    to hear from.
    """

    def __init__(self, state: NodeState, codec: MessageCodec):
        self.table = codec.configuration_table
        self.value: bytes | None = None
        self._newest: Configuration | None = None
        self._state = state
        self._codec = codec
        self._key = codec.configuration_key
        # When this node first knew a configuration, in monotonic seconds.
        self._known_since: float | None = None
        self._confirmed = state.settings.first_start

    @property
    def version(self) -> int:
        """Return the operator's version of the configuration; 0 if there is none."""
        return self._newest.version if self._newest else 0

    def apply_rows(self, rows: dict[str, StoredRow], changed: set[str]) -> None:
        """Adopt the configuration in the operator's table if it is newer."""
        if self._key not in changed:
            return
        row = rows.get(self._key)
        if row is not None:
            self.adopt(row.value, "store", row.version)
        elif self.value is not None:
            log.warning("configuration row is missing", extra={"kept": self.version})

    def adopt(self, value: bytes, source: str, row_version: Version | None) -> bool:
        """Adopt a configuration if it is newer; return whether it was.

        ``source`` is the store or a peer's id, ``row_version`` that of its row.
        """
        try:
            cfg = self._codec.decode_configuration(value)
            if not 0 <= cfg.version < MAX_EXACT_INTEGER:
                raise ValueError("version is out of range")
        except ValueError as exc:
            log.error(
                "malformed configuration ignored",
                extra={"error": str(exc), "source": source},
            )
            return False
        former = self._newest
        if former is not None and cfg.version <= former.version:
            log.info(
                "older configuration ignored",
                extra={
                    "version": cfg.version,
                    "kept": former.version,
                    "source": source,
                    "row_version": row_version,
                },
            )
            return False
        self._newest, self.value = cfg, value
        if self._known_since is None:
            self._known_since = self._state.timers.now()
        log.info(
            "configuration",
            extra={
                "version": cfg.version,
                "former": former.version if former else None,
                "routes": len(cfg.routes),
                "source": source,
                "row_version": row_version,
            },
        )
        if self._confirmed:
            self._put_into_force(cfg)
        return True

    def check_start(self, now: float) -> None:
        """Put the configuration into force unless a member may have a newer one."""
        if self._confirmed or self._known_since is None:
            return
        state = self._state
        waited = now - self._known_since
        heard = state.members.heard(now)
        newest = max((member.configuration for member in heard), default=0)
        if newest > self.version and waited < MAX_START_WAIT_SECONDS:
            return
        members = state.members.all()
        # A member without a configuration cannot tell that there is no newer one.
        heard_all = members and all(
            member.last_state_at > 0 and member.configuration for member in members
        )
        if not heard_all and waited < START_WAIT_SECONDS:
            return
        self._confirmed = True
        log.info(
            "configuration confirmed",
            extra={
                "version": self.version,
                "newest_at_members": newest,
                "members_heard": len(heard),
            },
        )
        if self._newest is not None:
            self._put_into_force(self._newest)

    def _put_into_force(self, cfg: Configuration) -> None:
        state = self._state
        state.configuration = cfg
        configuration_version.set(cfg.version)
        state.endpoints.use_configuration(cfg)
        state.limits.configure(cfg.organisations, state.timers.now())
