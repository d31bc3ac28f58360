"""Records, their wire format and authenticated messages."""
