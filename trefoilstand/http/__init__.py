"""HTTP over one event loop: connections without decisions."""
