"""Messages between the project's own processes over pynng."""
