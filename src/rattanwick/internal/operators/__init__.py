"""Interface for operators."""
