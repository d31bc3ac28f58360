"""Process of the control hosts around the consensus node."""
