"""HTTP exchanges with targets and the status that they report."""
