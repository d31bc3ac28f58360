"""``apricotcart control``: run a control host."""

from __future__ import annotations

from apricotcart.commands.serving import ServeCommand
from apricotcart.settings.control import ControlConfig


class ControlCommand(ServeCommand):
    """Replicates the cluster state and serves operators until SIGTERM."""

    name = 'control'
    summary = 'run a control host, which replicates the cluster state'
    server_module = 'apricotcart.control.server'
    server_class = 'ControlServer'

    def read_settings(self, path: str) -> ControlConfig:
        """Read and validate a control host's settings."""
        return ControlConfig.from_file(path)
