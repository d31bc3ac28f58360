"""Process adapter of the entry hosts."""
