"""``apricotcart list``: list the resources of a kind."""

from __future__ import annotations

import json
from argparse import ArgumentParser, Namespace

from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand, add_output_argument
from apricotcart.commands.operator_client import OperatorClient
from apricotcart.commands.resources_file import KINDS

_JSON = 'json'


class ListCommand(OperatorCommand):
    """Lists resources; ``apply`` accepts the JSON output as a file."""

    name = 'list'
    summary = 'list the resources of a kind'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the kind and the output format."""
        parser.add_argument('kind', choices=KINDS)
        add_output_argument(parser)
        super().add_arguments(parser)

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """List the resources, one per line in text format."""
        resources = client.list_resources(args.kind)
        if args.output == _JSON:
            console.show({'resources': resources}, _JSON)
            return OK
        for resource in resources:
            spec = json.dumps(resource['spec'], sort_keys=True)
            version = resource['version']
            console.write(f'{resource["name"]} version={version} {spec}')
        return OK
