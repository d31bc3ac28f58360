"""Base classes of the project's exceptions."""
