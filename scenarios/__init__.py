"""Scripted failure scenarios with nodes, endpoints and platform as local processes."""
