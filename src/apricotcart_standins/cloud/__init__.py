"""Stand-in for the cloud platform that provisions endpoints."""
