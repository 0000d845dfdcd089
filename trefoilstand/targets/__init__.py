"""The edge towards targets."""
