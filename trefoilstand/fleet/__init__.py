"""Spread what few hosts read from the store to all entry hosts."""
