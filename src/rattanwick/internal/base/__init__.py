"""Shared building blocks: errors, outcomes, timers, logs, metrics, traces, settings."""
