"""What the processes of both kinds of host share."""
