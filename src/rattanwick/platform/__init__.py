"""Adapter to the users' platform: its message formats, files and services."""
