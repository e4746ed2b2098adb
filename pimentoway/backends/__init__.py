"""Calls to back ends: model engines and application services."""
