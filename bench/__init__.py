"""Load tool, benchmarks and simulations, which are not part of the shipped program."""
