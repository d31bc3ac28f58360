"""The exception tree."""
