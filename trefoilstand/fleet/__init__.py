"""Replicate state that a few hosts read from the store to all others."""
