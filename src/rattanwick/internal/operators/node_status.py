"""Status sections on a node's peers and endpoints; ages are in seconds."""

from collections.abc import Callable

from rattanwick.internal.peers.members import HeartbeatMembers
from rattanwick.internal.platform.instance_list import CloudMapInstanceList


def members_status(members: HeartbeatMembers, now: float) -> dict[str, dict]:
    """Return the state of each other node as this node sees it, by id.

    ``heard_seconds_ago`` is the time since the node's last heartbeat, or None if no
    heartbeat link to the node is watched for silence.
    """
    versions = members.confirmed_versions()
    result = {}
    for node_id, record in sorted(members.records().items()):
        link = members.links.get(node_id)
        heard = link is not None and link.heard
        result[node_id] = {
            "state": record.state.name.lower(),
            "data_centre": record.node.data_centre,
            "incarnation": record.incarnation,
            "list_version": versions.get(node_id),
            "changed_seconds_ago": round(now - record.changed_at, 1),
            "heard_seconds_ago": round(now - link.last_heard, 1) if heard else None,
        }
    return result


def endpoints_status(
    instances: CloudMapInstanceList, is_leaving: Callable[[str], bool]
) -> dict:
    """Return the endpoints in this node's instance list and the age of the list."""
    return {
        "list_age_seconds": round(instances.age(), 1),
        "endpoints": {
            item.id: {
                "pool": item.pool,
                "data_centre": item.data_centre,
                "leaving": is_leaving(item.id),
            }
            for item in instances.endpoints()
        },
    }
