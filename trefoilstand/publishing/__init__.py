"""Read what operators publish through the project's own service."""
