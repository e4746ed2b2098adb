"""The object service that keeps configuration, claims and leases."""
