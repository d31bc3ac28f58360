"""Distribution of the configuration from the leader to entry hosts."""
