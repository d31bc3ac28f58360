"""The subcommands of ``apricotcart``, one module each."""
