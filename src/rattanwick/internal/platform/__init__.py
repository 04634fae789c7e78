"""Clients of the platform: table, object store, instance list, cloud API."""
