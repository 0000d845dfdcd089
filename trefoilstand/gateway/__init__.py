"""Route callers' requests to targets on one event loop."""
