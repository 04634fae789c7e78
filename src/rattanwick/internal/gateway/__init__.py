"""Relay of callers' requests to endpoints, under an operator's configuration."""
