"""The platform's object service, which stores configuration, claims, leases."""
