"""Factory for the components that depend on the platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from apricotcart.coordinator.evacuation_service import EvacuationService
from apricotcart.coordinator.services import DesiredStateService
from apricotcart.desired.api import DocumentFormat
from apricotcart.gateway.api import HeaderCodec
from apricotcart.membership.answers import ServingHostDirectory
from apricotcart.platform.applications import (
    DirectoryApplication,
    OperatorApplication,
    ReadinessApplication,
)
from apricotcart.platform.cloud import PlatformClient
from apricotcart.platform.documents import PlatformDocumentFormat
from apricotcart.platform.headers import PlatformHeaderCodec
from apricotcart.provisioning.fleet_api import FleetPlatform
from apricotcart.web.application import WebApplication

# Timeout of a call to the platform's API.
_CLIENT_TIMEOUT_S: Final = 1.0


class PlatformAdapter:
    """Creates the components that use the platform's names and formats."""

    def document_format(self) -> DocumentFormat:
        """Return the format of the documents that operators send."""
        return PlatformDocumentFormat()

    def header_codec(self) -> HeaderCodec:
        """Return the codec for the headers of callers and endpoints."""
        return PlatformHeaderCodec()

    def platform_client(self, address: str) -> FleetPlatform:
        """Return a client of the platform's API."""
        return PlatformClient(address, _CLIENT_TIMEOUT_S)

    def readiness_app(self, is_ready: Callable[[], bool]) -> WebApplication:
        """Return the application that answers readiness checks."""
        return ReadinessApplication(is_ready)

    def operator_app(
        self, service: DesiredStateService, evacuations: EvacuationService
    ) -> WebApplication:
        """Return the application that serves operators' requests."""
        return OperatorApplication(service, evacuations)

    def directory_app(self, directory: ServingHostDirectory) -> WebApplication:
        """Return the application that sends host addresses to callers."""
        return DirectoryApplication(directory)
