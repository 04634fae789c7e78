"""Fakes of the platforms and of endpoints, for tests, measurements and the demo."""
