"""Communication between nodes: broker links, membership, gossip and RPC."""
