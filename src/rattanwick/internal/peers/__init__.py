"""Connections, membership and hand-over between nodes."""
