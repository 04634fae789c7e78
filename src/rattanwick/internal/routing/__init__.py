"""Placement of requests on endpoints."""
