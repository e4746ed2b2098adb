"""Which customers and which returning callers get slots under contention."""
