"""Logs, metrics and service-level counts."""
