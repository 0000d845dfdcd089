"""Load tests and measurements for developers, not part of a deployment."""
