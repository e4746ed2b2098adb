"""Simulated engines, platform and network, for tests and the demo."""
