"""Shared foundations: errors, outcomes, timers, logs, metrics, traces, settings."""
