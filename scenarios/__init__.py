"""Scripted failure scenarios over real processes on loopback."""
