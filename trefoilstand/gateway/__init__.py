"""Routing of callers' requests on one event loop."""
