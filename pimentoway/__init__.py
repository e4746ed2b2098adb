"""A request scheduler for unlike model engines and plain services."""

__version__ = '0.1.0'
