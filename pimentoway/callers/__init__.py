"""Callers, a peer: the HTTP interface that takes their requests."""
