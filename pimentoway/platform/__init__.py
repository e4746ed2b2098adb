"""The platform, a peer: its object service and its list of machines."""
