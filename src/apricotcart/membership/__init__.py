"""Membership of entry hosts, host discovery for callers, endpoint drain."""
