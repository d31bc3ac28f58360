"""Entry hosts, the answer to which host to use, and endpoint drain."""
