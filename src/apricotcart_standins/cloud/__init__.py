"""Stand-in for the platform that provisions endpoints."""
