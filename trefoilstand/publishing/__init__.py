"""Follow documents that the project's own service publishes."""
