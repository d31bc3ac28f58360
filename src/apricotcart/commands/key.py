"""``apricotcart key``: create or withdraw a caller's key."""

from __future__ import annotations

import hashlib
import secrets
from argparse import ArgumentParser, Namespace
from typing import Any, Final

from apricotcart.commands.changes import Change
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand, format_revision
from apricotcart.commands.operator_client import OperatorClient, resource_path
from apricotcart.commands.resources_file import DeclaredResource
from apricotcart.errors.tree import UnavailableError

# Log redaction and secret scanners recognise keys by this prefix.
_PREFIX: Final = 'ack_'
_SECRET_BYTES: Final = 32
_KIND: Final = 'key'
_ORPHANED_KEY_HINT: Final = (
    'the key may have been created; if so, delete it, as its secret is lost'
)


class KeyCommand(OperatorCommand):
    """Creates a key and prints its secret once, or withdraws a key.

    The cluster stores only the SHA-256 of the secret. A withdrawn key stops
    working within 5 s.
    """

    name = 'key'
    summary = "create or withdraw a caller's key"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the action and the key."""
        parser.add_argument('action', choices=('create', 'withdraw'))
        parser.add_argument('name', help='name of the key resource')
        parser.add_argument(
            '--customer', help='customer of the key (required for create)'
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
            self._parser.error('create requires --customer')
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
            _apply_key(client, args.name, 0, spec)
        except UnavailableError as exc:
            raise UnavailableError(
                f'{exc.message}; {_ORPHANED_KEY_HINT}'
            ) from exc
        console.error(
            f'secret of key {args.name} of {args.customer}; shown only once:'
        )
        console.write(secret)
        return OK

    def _withdraw(
        self, client: OperatorClient, name: str, console: Console
    ) -> int:
        stored = client.read(resource_path(_KIND, name))
        spec = stored['spec']
        if spec.get('withdrawn'):
            console.write(f'key {name} is already withdrawn')
            return OK
        spec['withdrawn'] = True
        answer = _apply_key(client, name, stored['version'], spec)
        console.write(f'key {name} withdrawn, {format_revision(answer)}')
        return OK


def _apply_key(
    client: OperatorClient, name: str, version: int, spec: dict[str, Any]
) -> dict[str, Any]:
    key = DeclaredResource(kind=_KIND, name=name, spec=spec, version=version)
    return client.apply([Change(key, None).to_wire()])
