"""Membership, configuration gossip and calls between entry hosts."""
