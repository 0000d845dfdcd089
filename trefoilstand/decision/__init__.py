"""Decisions about calls, made without I/O."""
