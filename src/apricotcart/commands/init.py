"""``apricotcart init``: initialize an initial voter of a new cluster."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from apricotcart.commands.api import Command
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.control.bootstrap import bootstrap_voter
from apricotcart.settings.control import ControlConfig


class InitCommand(Command):
    """Writes the identity of an initial voter to an empty data folder.

    Run it once on each host in [peers] when a cluster is created, and never
    again. A host that lost its data folder must join as a new member, because
    its previous identity may have voted and acknowledged entries that are
    now lost.
    """

    name = 'init'
    summary = 'initialize this host as a voter of a new cluster (run once)'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the settings file."""
        parser.add_argument(
            '--settings',
            required=True,
            metavar='FILE',
            help="the control host's settings file",
        )

    def run(self, args: Namespace, console: Console) -> int:
        """Write the identity; fail if the folder is in use."""
        cfg = ControlConfig.from_file(args.settings)
        voters = ', '.join(bootstrap_voter(cfg))
        cluster = cfg.cluster.name
        console.write(f'{cluster}: the initial voters are {voters}')
        return OK
