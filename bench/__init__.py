"""Load tool and measurements, outside the shipped binary."""
