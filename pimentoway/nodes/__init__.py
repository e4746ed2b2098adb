"""Other entry processes, a peer: membership, gossip and calls."""
