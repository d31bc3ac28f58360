"""Passes requests on to other gateways while this host is cut off."""
