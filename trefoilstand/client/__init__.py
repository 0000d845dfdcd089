"""Client library for callers written in Python."""
