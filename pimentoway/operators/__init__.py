"""Operators, a peer: status, metrics and orders over HTTP."""
