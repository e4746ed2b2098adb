"""Duties: calls to the platform's API that one node at a time makes."""
