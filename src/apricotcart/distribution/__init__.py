"""The configuration copy on entry hosts and the replies that feed it."""
