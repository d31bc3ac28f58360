"""``apricotcart key``: create and withdraw callers' keys."""

from __future__ import annotations

import hashlib
import secrets
from argparse import ArgumentParser, Namespace
from typing import Any, Final

from apricotcart.commands.changes import Change
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand, revision_of
from apricotcart.commands.operator_client import OperatorClient, resource_path
from apricotcart.commands.resources_file import DeclaredResource
from apricotcart.errors.tree import UnavailableError

# The prefix lets the log's redaction, and other scanners, find a key.
_PREFIX: Final = 'ack_'
_SECRET_BYTES: Final = 32
_KIND: Final = 'key'
_LOST_KEY: Final = (
    'if the key was declared all the same, delete it: its secret is lost'
)


class KeyCommand(OperatorCommand):
    """Creates a key, printing its secret once, or withdraws one.

    Only the SHA-256 of a secret is declared. A withdrawn key stops working
    within 5 s.
    """

    name = 'key'
    summary = "create or withdraw a caller's key"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the action and the key."""
        parser.add_argument('action', choices=('create', 'withdraw'))
        parser.add_argument('name', help='name of the key resource')
        parser.add_argument(
            '--customer', help='whose key it is (needed to create one)'
        )
        super().add_arguments(parser)
        self._parser = parser

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Create or withdraw the key."""
        if args.action == 'withdraw':
            return self._withdraw(client, args.name, console)
        if not args.customer:
            self._parser.error('create needs --customer')
        return self._create(client, args, console)

    def _create(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        secret = f'{_PREFIX}{secrets.token_urlsafe(_SECRET_BYTES)}'
        spec = {
            'customer': args.customer,
            'sha256': hashlib.sha256(secret.encode()).hexdigest(),
            'withdrawn': False,
        }
        try:
            _declare(client, args.name, 0, spec)
        except UnavailableError as exc:
            raise UnavailableError(f'{exc.message}; {_LOST_KEY}') from exc
        console.error(f'key {args.name} of {args.customer}; shown only once:')
        console.write(secret)
        return OK

    def _withdraw(
        self, client: OperatorClient, name: str, console: Console
    ) -> int:
        held = client.read(resource_path(_KIND, name))
        spec = held['spec']
        if spec.get('withdrawn'):
            console.write(f'key {name} was withdrawn before')
            return OK
        spec['withdrawn'] = True
        answer = _declare(client, name, held['version'], spec)
        console.write(f'key {name} withdrawn, {revision_of(answer)}')
        return OK


def _declare(
    client: OperatorClient, name: str, version: int, spec: dict[str, Any]
) -> dict[str, Any]:
    key = DeclaredResource(kind=_KIND, name=name, spec=spec, version=version)
    return client.apply([Change(key, None).to_wire()])
