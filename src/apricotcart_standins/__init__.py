"""Stand-ins for the systems that apricotcart talks to."""
