"""A cluster of real processes on loopback addresses."""

from __future__ import annotations

import secrets
import uuid
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import urllib3

from support.processes import (
    Child,
    ChildError,
    free_port,
    is_listening,
    wait_until,
)

ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
_TOKEN_BYTES = 24
_APRICOTCART = 'apricotcart'
_STANDINS = 'apricotcart_standins'


class ProcessAddress:
    """Address and port of one process."""

    def __init__(self, host: str) -> None:
        """Choose a free port of the address."""
        self.host = host
        self.port = free_port(host)

    @property
    def url(self) -> str:
        """Return the HTTP URL."""
        return f'http://{self.host}:{self.port}'


class Cluster:
    """Control hosts, entry hosts and stand-ins with their settings."""

    def __init__(
        self,
        folder: Path,
        *,
        controls: int = 3,
        entries: int = 2,
        program: Sequence[str] = (),
        settings: Mapping[str, str] | None = None,
    ) -> None:
        """Write all settings files.

        Parameters
        ----------
        folder : Path
            Folder for settings, data and output.
        controls, entries : int
            Number of control and entry hosts.
        program : sequence of str
            Command that starts apricotcart; the sources if empty.
        settings : mapping of str to str
            Settings of the entry hosts by ``section.key``.
        """
        self.folder = folder
        self.program = tuple(program)
        self.settings = dict(settings or {})
        self.children: dict[str, Child] = {}
        self.http = urllib3.PoolManager(retries=False, maxsize=32)
        folder.mkdir(parents=True, exist_ok=True)
        self.operator_token = secrets.token_hex(_TOKEN_BYTES)
        (folder / 'operator.token').write_text(self.operator_token)
        (folder / 'cluster.secret').write_text(secrets.token_hex(_TOKEN_BYTES))
        self.control_addresses: dict[str, ProcessAddress] = {}
        self.entry_addresses: dict[str, ProcessAddress] = {}
        self.metrics: dict[str, int] = {}
        self.standin_addresses: dict[str, ProcessAddress] = {}
        self._peers: dict[str, str] = {}
        self._rpc: dict[str, str] = {}
        self._assign_control_addresses(controls)
        self._assign_entry_addresses(entries)
        self.platform_url = ''

    def api_urls(self) -> str:
        """Return the operators' URLs, separated by commas."""
        return ','.join(
            address.url for address in self.control_addresses.values()
        )

    def rpc_addresses(self) -> dict[str, str]:
        """Return the RPC address of each control host."""
        return dict(self._rpc)

    def start(self) -> None:
        """Start all control and entry hosts and wait until they serve."""
        for name in self.control_addresses:
            self.init_control(name)
            self.start_control(name)
        for name in self.entry_addresses:
            self.start_entry(name)
        for name, address in {
            **self.control_addresses,
            **self.entry_addresses,
        }.items():
            self.wait_serving(name, address)
        wait_until(self.leader, 'the election of a leader')

    def stop(self) -> None:
        """Kill the processes that still run."""
        for child in self.children.values():
            child.resume()
            child.kill()

    def init_control(self, name: str) -> None:
        """Bootstrap the data folder of an initial voter."""
        child = self._run_once(
            f'init-{name}',
            ['init', '--settings', str(self._settings_path(name))],
        )
        if child != 0:
            raise ChildError(f'init of {name} failed with exit code {child}')

    def start_control(self, name: str) -> Child:
        """Start a control host."""
        return self._launch(
            name,
            ['control', '--settings', str(self._settings_path(name))],
        )

    def start_entry(self, name: str) -> Child:
        """Start an entry host."""
        return self._launch(
            name, ['entry', '--settings', str(self._settings_path(name))]
        )

    def start_standin(
        self, name: str, kind: str, *options: str
    ) -> ProcessAddress:
        """Start a stand-in on its own address."""
        address = self.standin_addresses.get(name)
        if address is None:
            address = ProcessAddress(
                f'127.0.0.{100 + len(self.standin_addresses)}'
            )
            self.standin_addresses[name] = address
        args = [
            kind,
            '--host',
            address.host,
            '--port',
            str(address.port),
            *options,
        ]
        self.children[name] = Child(name, [_STANDINS, *args], self.folder)
        self.wait_serving(name, address)
        return address

    def wait_serving(self, name: str, address: ProcessAddress) -> None:
        """Wait until a process accepts connections."""
        child = self.children[name]
        wait_until(
            lambda: (
                is_listening(address.host, address.port)
                or not child.is_running()
            ),
            f'{name} to listen',
        )
        if not child.is_running():
            raise ChildError(
                f'{name} exited before it listened: {child.tail()}'
            )

    def request_as_operator(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = 10,
    ) -> Any:
        """Send an operator's request to the control host that leads."""
        reply = None
        for address in list(self.control_addresses.values()) * 40:
            try:
                reply = self.http.request(
                    method,
                    f'{address.url}{path}',
                    json=body,
                    headers={'Authorization': f'Bearer {self.operator_token}'},
                    timeout=timeout_s,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if reply.status != 503:
                return reply.json()
        raise ChildError(
            f'no leader answered {method} {path}, last reply {reply}'
        )

    def apply(self, *resources: tuple[str, str, dict[str, Any]]) -> Any:
        """Declare resources.

        Raises
        ------
        ChildError
            If they are not accepted.
        """
        changes = [
            {'kind': kind, 'name': name, 'expected_version': None, 'spec': spec}
            for kind, name, spec in resources
        ]
        body = {'op_id': uuid.uuid4().hex, 'changes': changes}
        reply = self.request_as_operator('POST', '/v1/apply', body)
        if 'revision' not in reply:
            raise ChildError(f'declaring resources failed: {reply}')
        return reply

    def leader(self) -> str:
        """Return the name of the leading control host, or an empty string."""
        for name, address in self.control_addresses.items():
            if not self.children[name].is_running():
                continue
            try:
                status = self._status(address)
            except urllib3.exceptions.HTTPError:
                continue
            if status.get('role') == 'leader':
                return name
        return ''

    def _status(self, address: ProcessAddress) -> Any:
        return self.http.request(
            'GET',
            f'{address.url}/v1/status',
            headers={'Authorization': f'Bearer {self.operator_token}'},
            timeout=1,
        ).json()

    def _launch(self, name: str, args: Sequence[str]) -> Child:
        child = Child(name, self._command(args), self.folder, self.program)
        self.children[name] = child
        return child

    def _run_once(self, name: str, args: Sequence[str]) -> int:
        child = Child(name, self._command(args), self.folder, self.program)
        wait_until(lambda: not child.is_running(), name)
        return child.stop()

    def _command(self, args: Sequence[str]) -> list[str]:
        return list(args) if self.program else [_APRICOTCART, *args]

    def _settings_path(self, name: str) -> Path:
        return self.folder / f'{name}.ini'

    def _assign_control_addresses(self, count: int) -> None:
        for number in range(count):
            name = f'c{number + 1}'
            host = f'127.0.0.{11 + number}'
            self.control_addresses[name] = ProcessAddress(host)
            self._peers[name] = f'tcp://{host}:{free_port(host)}'
            self._rpc[name] = f'tcp://{host}:{free_port(host)}'
        self.write_controls()

    def write_controls(self, platform_url: str = '') -> None:
        """Write the control hosts' settings."""
        for number, name in enumerate(self.control_addresses):
            self._write(name, self._control_sections(number, platform_url))

    def _control_sections(
        self,
        number: int,
        platform_url: str,
    ) -> dict[str, dict[str, str]]:
        name = list(self.control_addresses)[number]
        address = self.control_addresses[name]
        sections = {
            'host': {
                'name': name,
                'zone': ZONES[number % len(ZONES)],
                'address': address.host,
                'api_port': str(address.port),
            },
            'peers': {'listen': self._peers[name], **self._peers},
            'rpc': {'listen': self._rpc[name]},
            'data': {'folder': str(self.folder / f'data-{name}')},
            'operators': {'token_file': str(self.folder / 'operator.token')},
        }
        if platform_url:
            sections['platform'] = {'url': platform_url}
        return sections

    def _assign_entry_addresses(self, count: int) -> None:
        for number in range(count):
            name = f'e{number + 1}'
            address = ProcessAddress(f'127.0.0.{31 + number}')
            self.entry_addresses[name] = address
            self.metrics[name] = free_port(address.host)
            sections = {
                'host': {
                    'name': name,
                    'zone': ZONES[number % len(ZONES)],
                    'address': address.host,
                    'port': str(address.port),
                },
                'control': {'addresses': ', '.join(self._rpc.values())},
                'metrics': {'port': str(self.metrics[name])},
            }
            for dotted, text in self.settings.items():
                section, _, key = dotted.partition('.')
                sections.setdefault(section, {})[key] = text
            self._write(name, sections)

    def _write(self, name: str, sections: dict[str, dict[str, str]]) -> None:
        sections['cluster'] = {
            'name': 'sealdesk',
            'secret_file': str(self.folder / 'cluster.secret'),
        }
        sections['log'] = {'format': 'json'}
        sections['tracing'] = {'file': str(self.folder / 'spans.jsonl')}
        lines: list[str] = []
        for section, fields in sections.items():
            lines.append(f'[{section}]')
            lines.extend(f'{key} = {text}' for key, text in fields.items())
        self._settings_path(name).write_text('\n'.join(lines) + '\n')
