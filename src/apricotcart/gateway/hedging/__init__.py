"""Second attempts at requests whose first one is late."""
