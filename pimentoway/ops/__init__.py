"""Decisions over requests and back ends, free of protocols."""
