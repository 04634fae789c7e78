"""Recording of decisions, and their replay."""
