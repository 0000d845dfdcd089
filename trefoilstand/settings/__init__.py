"""Settings of one daemon process."""
