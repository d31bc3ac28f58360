"""Settings files of the two processes, read and checked whole."""
