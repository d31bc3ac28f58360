"""TLS configuration of pynng sockets."""

from __future__ import annotations

import pynng


class TlsFiles:
    """Paths of the PEM files of a host.

    Parameters
    ----------
    cert : str
        Certificate of this host.
    key : str
        Private key of this host.
    ca : str
        Certificates of the authority that signs the peers' certificates.
    name : str
        DNS name in every certificate of the cluster. Hosts are addressed by
        IP, which the TLS library does not compare with certificates.
    """

    __slots__ = ('ca', 'cert', 'key', 'name')

    def __init__(
        self,
        *,
        cert: str,
        key: str,
        ca: str,
        name: str,
    ) -> None:
        self.cert = cert
        self.key = key
        self.ca = ca
        self.name = name

    def server_config(self) -> pynng.TLSConfig:
        """Return the TLS configuration of a listening socket."""
        return self._config(pynng.TLSConfig.MODE_SERVER)

    def client_config(self) -> pynng.TLSConfig:
        """Return the TLS configuration of a dialing socket."""
        return self._config(pynng.TLSConfig.MODE_CLIENT)

    def _config(self, mode: int) -> pynng.TLSConfig:
        return pynng.TLSConfig(
            mode,
            server_name=self.name,
            ca_string=_read(self.ca),
            own_cert_string=_read(self.cert),
            own_key_string=_read(self.key),
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
        )


def cluster_dns_name(cluster: str) -> str:
    """Return the DNS name in the certificates of a cluster."""
    return f'{cluster}.apricotcart'


def _read(path: str) -> str:
    with open(path, encoding='ascii') as stream:
        return stream.read()
