"""The cluster of one scenario with its calls and figures."""

from __future__ import annotations

import hashlib
import json
import secrets
import threading
import time
from pathlib import Path
from typing import Any

from support.demo import declare, serves_route
from support.processes import Child, wait_until

from prove.calls import Callers, Outcome
from prove.language import ScenarioError
from prove.relayed import RelayedCluster

GUILD = 'guild'
_ENGINE_SLOTS = 8
_MEMBER_TIMEOUT_S = 30.0


class World:
    """Processes, keys, aliases, outcomes and figures of one scenario.

    Attributes
    ----------
    cluster : RelayedCluster
        The processes.
    callers : Callers
        Sends calls to the processes.
    keys : dict of str to tuple
        Customer and secret of each key.
    names : dict of str to str
        Names that the scenario gave to processes.
    named : dict of str to Outcome
        Outcomes by the name that the scenario gave them.
    outcomes : list of Outcome
        Outcomes of all calls.
    pacers : list of threading.Thread
        Threads that send calls at intervals.
    fault_at : float
        Time of the last fault, change or withdrawal.
    """

    __slots__ = (
        'callers',
        'cluster',
        'fault_at',
        'figures',
        'folder',
        'keys',
        'named_outcomes',
        'aliases',
        'outcomes',
        'call_threads',
        'specs',
        'started_at',
        'versions',
    )

    def __init__(self, folder: Path) -> None:
        """Prepare a scenario without starting a process."""
        self.folder = folder
        self.cluster: RelayedCluster
        self.callers: Callers
        self.keys: dict[str, tuple[str, str]] = {}
        self.aliases: dict[str, str] = {}
        self.named_outcomes: dict[str, Outcome] = {}
        self.outcomes: list[Outcome] = []
        self.figures: list[str] = []
        self.call_threads: list[threading.Thread] = []
        self.specs: dict[str, dict[str, Any]] = {}
        self.versions: dict[str, int] = {}
        self.started_at = time.monotonic()
        self.fault_at = self.started_at

    def start(self, options: dict[str, str]) -> None:
        """Start the cluster, stand-ins and the first configuration."""
        cluster = RelayedCluster(
            self.folder,
            controls=int(options.get('controls', 3)),
            entries=int(options.get('entries', 2)),
        )
        self.cluster = cluster
        self.callers = Callers(cluster)
        self._start_standins(options)
        cluster.start()
        secret = secrets.token_urlsafe()
        self.keys[GUILD] = (GUILD, secret)
        slots = int(options.get('slots', _ENGINE_SLOTS))
        declare(cluster, secret, slots)
        wait_until(
            lambda: all(
                serves_route(cluster, name, secret)
                for name in cluster.entry_addresses
            ),
            'the configuration on every entry host',
        )
        self.started_at = time.monotonic()

    def stop(self) -> None:
        """Kill the processes that still run."""
        if hasattr(self, 'cluster'):
            self.cluster.stop()

    def restore(self, timeout_s: float) -> None:
        """Remove the faults, restart control hosts and wait for the calls."""
        for child in list(self.cluster.children.values()):
            child.resume()
        self.cluster.heal()
        for name in self.cluster.control_addresses:
            if not self.child(name).is_running():
                self.cluster.start_control(name)
        for call_thread in self.call_threads:
            call_thread.join(timeout_s)
        for outcome in self.outcomes:
            if outcome.thread is not None:
                outcome.thread.join(timeout_s)

    def child(self, name: str) -> Child:
        """Return a process by its name."""
        return self.cluster.children[self.process_name(name)]

    def process_name(self, word: str) -> str:
        """Return the name of a process; ``leader`` is the present leader."""
        if word == 'leader':
            wait_until(self.cluster.leader, 'a leader', _MEMBER_TIMEOUT_S)
            return self.cluster.leader()
        return self.aliases.get(word, word)

    def url(self, name: str) -> str:
        """Return the URL of a process."""
        cluster = self.cluster
        addresses = {
            **cluster.control_addresses,
            **cluster.entry_addresses,
            **cluster.standin_addresses,
        }
        return addresses[self.process_name(name)].url

    def secret(self, key: str) -> str:
        """Return the secret of a key."""
        return self.keys[key][1]

    def create_key(self, name: str, customer: str) -> dict[str, Any]:
        """Create a key and return the spec that declares it."""
        secret = secrets.token_urlsafe()
        self.keys[name] = (customer, secret)
        digest = hashlib.sha256(secret.encode()).hexdigest()
        return {'customer': customer, 'sha256': digest}

    def start_call(self, outcome: Outcome, action: Any, name: str) -> None:
        """Run a call, in the background if the scenario names it."""
        self.outcomes.append(outcome)
        if not name:
            outcome.run(action)
            return
        self.named_outcomes[name] = outcome
        outcome.thread = threading.Thread(
            target=outcome.run,
            args=(action,),
            daemon=True,
        )
        outcome.thread.start()

    def outcome(self, name: str, timeout_s: float = 60) -> Outcome:
        """Wait for a named call and return its outcome."""
        outcome = self.named_outcomes[name]
        if outcome.thread is not None:
            outcome.thread.join(timeout_s)
        if outcome.status == -1:
            raise ScenarioError(f'call {name} still runs after {timeout_s} s')
        return outcome

    def read_resource(self, path: str) -> dict[str, Any]:
        """Read a resource and remember its version and spec."""
        reply = self.callers.operator('GET', f'/v1/resources/{path}')
        resource: dict[str, Any] = {}
        if reply.status == 200:
            resource = json.loads(reply.data)
            self.versions[path] = resource['version']
            self.specs[path] = resource['spec']
        return resource

    def _start_standins(self, options: dict[str, str]) -> None:
        cluster = self.cluster
        for number in range(int(options.get('engines', 2))):
            cluster.start_standin(
                f'engine-{number + 1}',
                'engine',
                '--models=writer',
                f'--interval-s={options.get("interval_s", "0.02")}',
            )
        for number in range(int(options.get('services', 1))):
            cluster.start_standin(
                f'service-{number + 1}',
                'service',
                f'--answer-s={options.get("answer_s", "0")}',
            )
        if options.get('platform') == 'yes':
            address = cluster.start_standin(
                'platform',
                'platform',
                '--zones=zone-a,zone-b,zone-c,zone-d',
                '--start-delay-s=600',
                *(['--ignore-fencing'] if 'ignore_fencing' in options else []),
            )
            cluster.write_controls(address.url)
