"""Probes of target load within a fleet-wide budget."""
