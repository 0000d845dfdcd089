"""Client module for callers written in Python."""
