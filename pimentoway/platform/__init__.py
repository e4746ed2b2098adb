"""Adapter to the users' platform: its settings, store and HTTP headers."""
