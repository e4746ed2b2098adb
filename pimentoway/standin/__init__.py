"""Stand-ins for outside systems, for tests and the demo."""
