"""Stand-ins for the external systems that apricotcart uses in tests."""
