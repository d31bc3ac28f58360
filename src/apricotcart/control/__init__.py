"""Process adapter of the control hosts."""
