"""The HTTP interface for operators, metrics and health."""
