"""A request scheduler for unlike model engines and plain services."""
