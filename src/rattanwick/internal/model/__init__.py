"""Data types that packages pass to each other."""
