"""Adapter to the platform's names, formats and API."""
