"""Subcommands of ``apricotcart``, one module each."""
