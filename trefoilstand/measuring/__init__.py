"""Measuring of targets within a budget."""
