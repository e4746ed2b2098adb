"""Soak tests: nodes run as processes while faults are injected from outside."""
