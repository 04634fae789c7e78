"""Data that parts pass to each other."""
