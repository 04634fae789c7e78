"""Connections, membership, gossip, replication and handover between nodes."""
