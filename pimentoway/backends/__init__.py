"""Back ends, a peer: model engines and application services."""
