"""Load and experiment tools of the project, no part of a deployment."""
