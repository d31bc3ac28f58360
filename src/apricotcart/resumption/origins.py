"""Which service and software version began a stream."""

from __future__ import annotations

from apricotcart.codec.record import Record


class StreamOrigin(Record):
    """Service and software version of the endpoint that began a stream."""

    __slots__ = ('service', 'software_version')

    def __init__(self, *, service: str, software_version: str) -> None:
        self.service = service
        self.software_version = software_version
