"""Operators' configuration: schema, checks and differences."""
