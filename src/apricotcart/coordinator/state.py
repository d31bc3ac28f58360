"""Replicated state of the coordinators."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

from apricotcart.codec.packing import pack, unpack
from apricotcart.consensus.api import StateMachine
from apricotcart.coordinator.evacuations import EvacuationTable
from apricotcart.errors.tree import ApricotcartError
from apricotcart.resumption.serving_versions import (
    VersionsByService,
    versions_from_wire,
)
from apricotcart.state.fencing import FencingCounter

REPLACE: Final = 'replace'
FENCE: Final = 'fence'
CLOSE_WINDOW: Final = 'close_window'
WINDOW_SENT: Final = 'window_sent'
SET_VERSIONS: Final = 'set_versions'
EVACUATE: Final = 'evacuate'
# Closed windows kept; the oldest ones are removed first.
_MAX_WINDOWS: Final = 24

Fields = Mapping[str, Any]
_Apply = Callable[[Fields], dict[str, Any]]


class UnknownCommandError(ApricotcartError):
    """The kind of a command is unknown to this version."""

    code = 'unknown_command'


class ClosedWindow:
    """Usage window whose counts are final."""

    __slots__ = ('counts', 'is_reported')

    def __init__(self, counts: dict[str, int], *, is_reported: bool) -> None:
        self.counts = counts
        self.is_reported = is_reported


class CoordinatorState(StateMachine):
    """Desired state, evacuated zones, fencing token and usage windows.

    Attributes
    ----------
    version : int
        Version of the desired state, -1 without one.
    document : bytes
        Desired state as received from an operator.
    fencing : FencingCounter
        Fencing token of the host that performs the duties.
    windows : dict of int to ClosedWindow
        Closed usage windows by number.
    software_versions : dict of str to frozenset of str
        Versions of endpoints that served recently, by service.
    evacuations : EvacuationTable
        Availability zones whose endpoints get no requests.
    """

    def __init__(self) -> None:
        self.version = -1
        self.document = b''
        self.fencing = FencingCounter()
        self.windows: dict[int, ClosedWindow] = {}
        self.software_versions: VersionsByService = {}
        self.evacuations = EvacuationTable()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return the packed reply."""
        if not command:
            return pack({'ok': True})
        fields = unpack(command)
        try:
            reply = self._dispatch(fields)
        except ApricotcartError as exc:
            reply = {'ok': False, 'code': exc.code, 'message': exc.message}
        return pack(reply)

    def snapshot(self) -> bytes:
        """Return the whole state, packed."""
        return pack(
            {
                'version': self.version,
                'document': self.document,
                'fencing': self.fencing.to_wire(),
                'windows': {
                    number: [window.counts, window.is_reported]
                    for number, window in self.windows.items()
                },
                'software_versions': {
                    service: sorted(versions)
                    for service, versions in self.software_versions.items()
                },
                'evacuations': self.evacuations.to_wire(),
            }
        )

    def restore(self, blob: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        if not blob:
            return
        fields = unpack(blob)
        self.version = fields['version']
        self.document = fields['document']
        self.fencing.load(fields['fencing'])
        self.windows = {
            number: ClosedWindow(counts, is_reported=is_reported)
            for number, (counts, is_reported) in fields['windows'].items()
        }
        # Snapshots of earlier builds have none.
        self._set_versions(fields.get('software_versions', {}))
        self.evacuations.load(fields.get('evacuations', {}))

    def _dispatch(self, fields: Fields) -> dict[str, Any]:
        kind = fields['kind']
        commands: Mapping[str, _Apply] = {
            REPLACE: self._replace,
            FENCE: self._fence,
            CLOSE_WINDOW: self._close_window,
            WINDOW_SENT: self._mark_reported,
            SET_VERSIONS: lambda command: self._set_versions(
                command['versions']
            ),
            EVACUATE: self._evacuate,
        }
        command = commands.get(kind)
        if command is None:
            raise UnknownCommandError(f'unknown command {kind!r}')
        return command(fields)

    def _fence(self, fields: Fields) -> dict[str, Any]:
        granted = self.fencing.issue({'holder': fields['holder']}, 0)
        return {'ok': True, **granted}

    def _replace(self, fields: Fields) -> dict[str, Any]:
        # A document that is not newer is acknowledged without a change: it
        # is a resend, or a newer version was committed before it.
        if fields['version'] > self.version:
            self.version = fields['version']
            self.document = fields['document']
        return {'ok': True, 'version': self.version}

    def _set_versions(
        self, versions: Mapping[str, Sequence[str]]
    ) -> dict[str, Any]:
        self.software_versions = versions_from_wire(versions)
        return {'ok': True}

    def _evacuate(self, fields: Fields) -> dict[str, Any]:
        revision = self.evacuations.change(
            fields['zone'], is_evacuated=fields['is_evacuated']
        )
        return {'ok': True, 'revision': revision}

    def _close_window(self, fields: Fields) -> dict[str, Any]:
        # Later closes of a window are ignored, so that all reports of the
        # window have the same counts.
        number = fields['window']
        if number not in self.windows:
            window = ClosedWindow(dict(fields['counts']), is_reported=False)
            self.windows[number] = window
        while len(self.windows) > _MAX_WINDOWS:
            self.windows.pop(min(self.windows))
        return {'ok': True}

    def _mark_reported(self, fields: Fields) -> dict[str, Any]:
        window = self.windows.get(fields['window'])
        if window is not None:
            window.is_reported = True
        return {'ok': True}
