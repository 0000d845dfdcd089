"""Target selection, retry and ticket decisions, made without I/O."""
