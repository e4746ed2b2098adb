"""The HTTP interface for callers: connections, requests and responses."""
