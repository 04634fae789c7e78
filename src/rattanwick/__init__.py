"""Serve language-model and application requests on reclaimable instances."""

__version__ = "0.1.0"
