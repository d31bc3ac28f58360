"""Interface to the document format of desired states."""

from __future__ import annotations

from abc import ABC, abstractmethod

from apricotcart.desired.records import DesiredState


class DocumentFormat(ABC):
    """Decodes documents in which operators declare desired states."""

    @abstractmethod
    def decode(self, blob: bytes) -> DesiredState:
        """Return the desired state that a document declares.

        Raises
        ------
        InvalidDesiredStateError
            If the document is invalid; the error lists all faults.
        """
