"""Model-checked specification of the core protocol."""
