"""Reads commands and passes them to the tables."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from apricotcart.errors.tree import ApricotcartError, CodecError
from apricotcart.state.errors import ReferencedError
from apricotcart.state.fields import Integer, Text
from apricotcart.state.operations import command_digest
from apricotcart.state.records import Fault, Identity
from apricotcart.state.replies import invalid, reply_of
from apricotcart.state.schema import Schema
from apricotcart.state.tables import Tables

_Fields = dict[str, Any]
_Runner = Callable[[_Fields, int], _Fields]
_COMMAND: Final = Schema(
    {
        'kind': Text(),
        'at_ms': Integer(),
        'op_id': Text(default='-'),
    },
)
_HEAD: Final = ('kind', 'at_ms', 'op_id')
#: Commands whose replies are kept by operation id; the others have ids of
#: their own.
_KEPT: Final = frozenset(('apply', 'delete'))
#: The command's own kind is in ``kind``, so these name the resource's
#: in ``resource_kind``.
_DELETE: Final = Schema(
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
        The tables that the commands change.
    """

    __slots__ = ('_runners', '_tables')

    def __init__(self, tables: Tables) -> None:
        """Bind the commands to the tables."""
        self._tables = tables
        self._runners: dict[str, _Runner] = {
            'apply': self._apply,
            'delete': self._delete,
            'set_status': self._set_status,
            'order_begin': tables.orders.begin,
            'order_finish': tables.orders.finish,
            'usage_add': tables.usage.add,
            'usage_close': tables.usage.close,
            'usage_reported': tables.usage.mark_reported,
            'fencing_take': tables.fencing.take,
        }

    def run(self, command: Any) -> dict[str, Any]:
        """Run a command and give its reply.

        Raises
        ------
        ApricotcartError
            If the command is malformed or refused; nothing is changed.
        """
        if not isinstance(command, dict):
            raise CodecError('a command must be a mapping')
        if not all(isinstance(name, str) for name in command):
            raise CodecError('names of fields must be strings')
        head = {name: command[name] for name in _HEAD if name in command}
        full, faults = _COMMAND.normalize(head, '')
        runner = self._runners.get(str(full['kind']))
        if runner is None:
            faults.append(Fault(path='kind', message='unknown command'))
        if faults or runner is None:
            raise invalid(faults)
        tables = self._tables
        tables.now_ms = max(tables.now_ms, full['at_ms'])
        if full['kind'] in _KEPT and 'op_id' in head:
            return self._run_once(runner, command)
        return {'ok': True, **runner(_fields_of(command), tables.now_ms)}

    def _run_once(
        self,
        runner: _Runner,
        command: dict[str, Any],
    ) -> dict[str, Any]:
        operations = self._tables.operations
        op_id = command['op_id']
        digest = command_digest(command)
        reply = operations.reply_to(op_id, digest)
        if reply is None:
            reply = _reply_from(runner, command, self._tables.now_ms)
            operations.keep(op_id, digest, reply)
        return reply

    def _apply(self, fields: dict[str, Any], now_ms: int) -> dict[str, Any]:
        return self._tables.resources.apply(fields.get('changes'))

    def _delete(self, fields: dict[str, Any], now_ms: int) -> dict[str, Any]:
        head = dict(fields)
        # None stands for any version.
        expected = head.pop('expected_version', None)
        if expected is not None:
            head['expected_version'] = expected
        full, faults = _DELETE.normalize(head, '')
        if faults:
            raise invalid(faults)
        identity: Identity = (full['resource_kind'], full['name'])
        self._check_orders(identity)
        return self._tables.resources.delete(identity, expected)

    def _check_orders(self, identity: Identity) -> None:
        # A later customer of the same name must not get these responses.
        kind, name = identity
        if kind == 'customer' and self._tables.orders.store.count_of(name):
            raise ReferencedError('the customer has order records')

    def _set_status(
        self,
        fields: dict[str, Any],
        now_ms: int,
    ) -> dict[str, Any]:
        kind = str(fields.get('resource_kind'))
        identity = (kind, str(fields.get('name')))
        status = fields.get('status')
        return self._tables.resources.set_status(identity, status)


def _fields_of(command: dict[str, Any]) -> dict[str, Any]:
    return {name: field for name, field in command.items() if name not in _HEAD}


def _reply_from(
    runner: _Runner,
    command: dict[str, Any],
    now_ms: int,
) -> dict[str, Any]:
    try:
        return {'ok': True, **runner(_fields_of(command), now_ms)}
    except ApricotcartError as exc:
        return reply_of(exc)
