"""Metrics of the connections between nodes."""

from rattanwick.internal.base.metrics import counter, gauge

SENT_BYTES = counter("peer_sent_bytes", "Bytes sent to nodes")
RECEIVED_BYTES = counter("peer_received_bytes", "Bytes received from nodes")
HANDSHAKES = counter("peer_handshakes", "Handshakes by result", ("result",))
DROPPED_MESSAGES = counter(
    "peer_dropped_messages", "Messages not sent, by reason", ("reason",)
)
CONNECTIONS = gauge("peer_connections", "Open connections to nodes")
LIVE_NODES = gauge("peer_live_nodes", "Live nodes, including this one")
GOSSIP_ITEMS = gauge("peer_news_items", "Gossip items held")
GOSSIP_SYNCS = counter("peer_news_syncs", "Gossip syncs with a peer")
REPLICA_COUNT = gauge("peer_kept_requests", "Replicas held for other nodes")
REPLICA_BYTES = gauge("peer_kept_bytes", "Bytes of replicas held for other nodes")
RESTARTS = counter(
    "peer_restarts", "Takeovers of lost nodes' requests by result", ("result",)
)
HANDOVERS = counter("peer_handovers", "Requests handed over by result", ("result",))
