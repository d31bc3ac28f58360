"""Whether this host reaches endpoints at all."""
