"""Membership, configuration spread and calls between entry hosts."""
