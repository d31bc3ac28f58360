"""``apricotcart entry``: run an entry host."""

from __future__ import annotations

from apricotcart.commands.serving import ServeCommand
from apricotcart.settings.entry import EntryConfig


class EntryCommand(ServeCommand):
    """Serves callers until SIGTERM, then completes running requests."""

    name = 'entry'
    summary = 'run an entry host, which serves callers'
    server_module = 'apricotcart.entry.server'
    server_class = 'EntryServer'

    def read_settings(self, path: str) -> EntryConfig:
        """Read and validate an entry host's settings."""
        return EntryConfig.from_file(path)
