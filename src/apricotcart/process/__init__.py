"""Base classes of the server processes."""
