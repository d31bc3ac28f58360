"""The replicated state machine of the control hosts."""

from __future__ import annotations

from collections.abc import Sequence

from apricotcart.codec.packing import pack, unpack
from apricotcart.errors.tree import ApricotcartError
from apricotcart.state.commands import CommandRunner
from apricotcart.state.limits import Limits
from apricotcart.state.order_records import OrderRecord
from apricotcart.state.records import Event, Resource
from apricotcart.state.replies import error_reply
from apricotcart.state.tables import Tables
from apricotcart.state.usage_windows import UsageReport


class ClusterState:
    """Resources, orders, usage and fencing, changed by commands only.

    The state is deterministic: the same commands in the same order produce
    the same states and replies. The time is the largest ``at_ms`` of any
    command, so it never decreases.

    Parameters
    ----------
    limits : Limits or None
        Bounds of the tables; equal on all control hosts of a cluster.
    """

    __slots__ = ('_command_runner', '_limits', 'tables')

    def __init__(self, limits: Limits | None = None) -> None:
        self._limits = limits or Limits()
        self._replace_tables(Tables(self._limits))

    @property
    def revision(self) -> int:
        """Revision of the last change of any resource."""
        return self.tables.resources.revision

    @property
    def now_ms(self) -> int:
        """Latest time of any command, in milliseconds."""
        return self.tables.now_ms

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return the encoded reply.

        A malformed or rejected command changes nothing and gets an error
        reply. It must not raise, since the exception would stop every
        control host.
        """
        self.tables.applied_index = index
        # The consensus layer commits empty no-op entries.
        if not command:
            return pack({'ok': True})
        try:
            reply = self._command_runner.run(unpack(command))
        except ApricotcartError as exc:
            reply = error_reply(exc)
        return pack(reply)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return pack(self.tables.to_wire())

    def restore(self, blob: bytes) -> None:
        """Replace the state with a snapshot.

        Raises
        ------
        CodecError
            If the bytes are not a snapshot of this format; the state is not
            changed.
        """
        self._replace_tables(Tables.from_wire(unpack(blob), self._limits))

    def get(self, kind: str, name: str) -> Resource | None:
        """Return a resource, or None if it does not exist."""
        return self.tables.resources.store.get(kind, name)

    def list(self, kind: str) -> Sequence[Resource]:
        """Return the resources of a kind, sorted by name."""
        return sorted(
            self.tables.resources.store.resources_of_kind(kind),
            key=lambda resource: resource.name,
        )

    def events_since(self, revision: int) -> Sequence[Event] | None:
        """Return the later events, or None if all resources must be read."""
        return self.tables.resources.events_since(revision)

    def all_resources(self) -> tuple[int, Sequence[Resource]]:
        """Return the revision and all resources, referenced kinds first."""
        return self.revision, tuple(self.tables.resources.store)

    def unfinished_orders(self) -> Sequence[OrderRecord]:
        """Return the orders that are not done, ordered by last change."""
        return tuple(self.tables.orders.store.unfinished())

    def closable_windows(self, now_ms: int) -> Sequence[int]:
        """Return the usage windows that can be closed at a wall-clock time."""
        return self.tables.usage.windows.closable(now_ms)

    def unreported_usage(self, max_reports: int) -> Sequence[UsageReport]:
        """Return closed usage figures that are not marked as reported."""
        return self.tables.usage.unreported(max_reports)

    def _replace_tables(self, tables: Tables) -> None:
        self.tables = tables
        self._command_runner = CommandRunner(tables)
