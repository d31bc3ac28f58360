"""Parsing of commands and dispatch to the tables."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from apricotcart.errors.tree import ApricotcartError, CodecError
from apricotcart.state.errors import ReferencedError
from apricotcart.state.fields import Integer, Text
from apricotcart.state.operations import command_digest
from apricotcart.state.records import Fault, Identity
from apricotcart.state.replies import error_reply, invalid
from apricotcart.state.schema import Schema
from apricotcart.state.tables import Tables

_Fields = dict[str, Any]
_Handler = Callable[[_Fields, int], _Fields]
_HEADER: Final = Schema(
    {
        'kind': Text(),
        'at_ms': Integer(),
        'op_id': Text(default='-'),
    },
)
_HEADER_FIELDS: Final = ('kind', 'at_ms', 'op_id')
#: Kinds of commands whose replies are stored by operation id. The others are
#: deduplicated by identifiers of their own.
_REPLAYED_KINDS: Final = frozenset(('apply', 'delete'))
#: ``kind`` is the kind of the command; that of the resource is in
#: ``resource_kind``.
_DELETE_FIELDS: Final = Schema(
    {
        'resource_kind': Text(),
        'name': Text(),
        'expected_version': Integer(default=0),
    },
)


class CommandRunner:
    """Runs commands on a set of tables.

    Parameters
    ----------
    tables : Tables
        The tables that commands read and change.
    """

    __slots__ = ('_handlers', '_tables')

    def __init__(self, tables: Tables) -> None:
        """Initialize the handler of each kind of command."""
        self._tables = tables
        self._handlers: dict[str, _Handler] = {
            'apply': self._apply,
            'delete': self._delete,
            'set_status': self._set_status,
            'order_begin': tables.orders.begin,
            'order_finish': tables.orders.finish,
            'usage_add': tables.usage.add,
            'usage_close': tables.usage.close,
            'usage_reported': tables.usage.mark_reported,
            'fencing_take': tables.fencing.issue,
        }

    def run(self, command: Any) -> dict[str, Any]:
        """Run a command and return its reply.

        Raises
        ------
        ApricotcartError
            If the command is malformed or rejected; nothing is changed.
        """
        if not isinstance(command, dict):
            raise CodecError('a command must be a mapping')
        if not all(isinstance(name, str) for name in command):
            raise CodecError('field names of a command must be strings')
        header = {
            name: command[name] for name in _HEADER_FIELDS if name in command
        }
        normalized, faults = _HEADER.normalize(header, '')
        handler = self._handlers.get(str(normalized['kind']))
        if handler is None:
            faults.append(Fault(path='kind', message='unknown command'))
        if faults or handler is None:
            raise invalid(faults)
        tables = self._tables
        tables.now_ms = max(tables.now_ms, normalized['at_ms'])
        if normalized['kind'] in _REPLAYED_KINDS and 'op_id' in header:
            return self._run_or_replay(handler, command)
        return {'ok': True, **handler(_without_header(command), tables.now_ms)}

    def _run_or_replay(
        self,
        handler: _Handler,
        command: dict[str, Any],
    ) -> dict[str, Any]:
        operations = self._tables.operations
        op_id = command['op_id']
        digest = command_digest(command)
        reply = operations.stored_reply(op_id, digest)
        if reply is None:
            reply = _run_handler(handler, command, self._tables.now_ms)
            operations.store(op_id, digest, reply)
        return reply

    def _apply(self, fields: dict[str, Any], now_ms: int) -> dict[str, Any]:
        return self._tables.resources.apply(fields.get('changes'))

    def _delete(self, fields: dict[str, Any], now_ms: int) -> dict[str, Any]:
        header = dict(fields)
        # None accepts any version.
        expected_version = header.pop('expected_version', None)
        if expected_version is not None:
            header['expected_version'] = expected_version
        normalized, faults = _DELETE_FIELDS.normalize(header, '')
        if faults:
            raise invalid(faults)
        identity: Identity = (normalized['resource_kind'], normalized['name'])
        self._check_no_order_records(identity)
        return self._tables.resources.delete(identity, expected_version)

    def _check_no_order_records(self, identity: Identity) -> None:
        # A later customer with the same name must not get the stored
        # responses.
        kind, name = identity
        if kind == 'customer' and self._tables.orders.store.customer_count(
            name
        ):
            raise ReferencedError(f'customer {name} still has order records')

    def _set_status(
        self,
        fields: dict[str, Any],
        now_ms: int,
    ) -> dict[str, Any]:
        kind = str(fields.get('resource_kind'))
        identity = (kind, str(fields.get('name')))
        status = fields.get('status')
        return self._tables.resources.set_status(identity, status)


def _without_header(command: dict[str, Any]) -> dict[str, Any]:
    return {
        name: field
        for name, field in command.items()
        if name not in _HEADER_FIELDS
    }


def _run_handler(
    handler: _Handler,
    command: dict[str, Any],
    now_ms: int,
) -> dict[str, Any]:
    try:
        return {'ok': True, **handler(_without_header(command), now_ms)}
    except ApricotcartError as exc:
        return error_reply(exc)
