"""Process of the control hosts, which keep the replicated state."""
