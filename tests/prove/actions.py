"""Verbs of scenarios that act on processes and send calls."""

from __future__ import annotations

import json
import shutil
import threading
import time
from typing import Any

from prove.calls import Outcome
from prove.language import ScenarioError, Step
from prove.world import GUILD, World

_DEFAULT_TOKENS = 10
_REQUEST_TIMEOUT_S = 10
_AS = 'as'
_KEY = 'key'


class Actions:
    """The verbs that act on the cluster."""

    def __init__(self, world: World) -> None:
        self._world = world

    def start(self, step: Step) -> None:
        """Start the cluster, or processes that have exited."""
        world = self._world
        if step.words == ['cluster']:
            world.start(step.options)
            return
        for name in step.words:
            host = world.process_name(name)
            if host in world.cluster.control_addresses:
                world.cluster.start_control(host)
            elif host in world.cluster.entry_addresses:
                world.cluster.start_entry(host)
            else:
                kind, _, _ = host.partition('-')
                options = [
                    f'--{key}={step.options[key]}' for key in step.options
                ]
                world.cluster.start_standin(host, kind, *options)

    def stop(self, step: Step) -> None:
        """Send SIGTERM; a named stop runs in the background."""
        child = self._world.child(step.words[0])
        outcome = Outcome('stop', child.name, {})

        def stop_child(stop_outcome: Outcome) -> None:
            stop_outcome.status = child.stop()

        self._world.start_call(outcome, stop_child, step.options.get(_AS, ''))

    def kill(self, step: Step) -> None:
        """Kill processes."""
        children = [self._world.child(name) for name in step.words]
        for child in children:
            child.kill()
        self._record_fault_time()

    def freeze(self, step: Step) -> None:
        """Suspend processes."""
        children = [self._world.child(name) for name in step.words]
        for child in children:
            child.freeze()
        self._record_fault_time()

    def thaw(self, step: Step) -> None:
        """Resume suspended processes."""
        for name in step.words:
            self._world.child(name).resume()

    def cut(self, step: Step) -> None:
        """Block all traffic between two hosts or groups."""
        first, second = map(self._world.process_name, step.words)
        self._world.cluster.set_faults(first, second, cut='both')
        self._record_fault_time()

    def heal(self, step: Step) -> None:
        """Remove all cuts and delays."""
        self._world.cluster.heal()

    def delay(self, step: Step) -> None:
        """Add a one-way delay between two hosts or groups."""
        first, second = step.words
        delay_s = float(step.options['ms']) / 1000
        self._world.cluster.set_faults(first, second, delay_s=delay_s)

    def lose_disk(self, step: Step) -> None:
        """Kill a control host and remove its data."""
        name = self._world.process_name(step.words[0])
        self._world.child(name).kill()
        shutil.rmtree(self._world.cluster.folder / f'data-{name}')
        self._record_fault_time()

    def declare(self, step: Step) -> None:
        """Declare ``count`` resources; ``@`` is replaced by the number."""
        kind, name = step.words
        options = dict(step.options)
        for number in range(int(options.pop('count', 1))):
            numbered = {
                key: text.replace('@', str(number))
                for key, text in options.items()
            }
            self._declare(kind, name.replace('@', str(number)), numbered)

    def withdraw(self, step: Step) -> None:
        """Withdraw a key."""
        self._declare(
            _KEY, step.words[0], {**step.options, 'withdrawn': 'true'}
        )
        self._record_fault_time()

    def disturb(self, step: Step) -> None:
        """Set the faults of a stand-in."""
        fields = {key: _parse_value(text) for key, text in step.options.items()}
        self._world.callers.http.request(
            'POST',
            f'{self._world.url(step.words[0])}/fault',
            json=fields,
            timeout=_REQUEST_TIMEOUT_S,
        )

    def chat(self, step: Step) -> None:
        """Send ``count`` chat requests or streams, ``every`` seconds apart."""
        options = step.options
        if 'every' in options:
            call_thread = threading.Thread(
                target=self._send_chats, args=(step,)
            )
            call_thread.daemon = True
            call_thread.start()
            self._world.call_threads.append(call_thread)
        else:
            self._send_chats(step)

    def _send_chats(self, step: Step) -> None:
        options = step.options
        fields = {
            'tokens': int(options.get('tokens', _DEFAULT_TOKENS)),
            'route': options.get('route', 'draft'),
        }
        for number in range(int(options.get('count', 1))):
            prompt = options.get('prompt', 'prompt @').replace(
                '@',
                str(len(self._world.outcomes)),
            )
            self._start_call(step, Outcome(step.verb, prompt, fields), number)
            time.sleep(float(options.get('every', 0)))

    def order(self, step: Step) -> None:
        """Send an order, or send it again with the same key."""
        customer = self._world.keys[step.options.get(_KEY, GUILD)][0]
        outcome = Outcome('order', step.words[1], {'customer': customer})
        self._start_call(step, outcome, 0)

    def name(self, step: Step) -> None:
        """Define another name for a process."""
        new, process = step.words
        self._world.aliases[new] = self._world.process_name(process)

    def _start_call(self, step: Step, outcome: Outcome, number: int) -> None:
        world = self._world
        entry = world.process_name(step.words[0])
        secret = world.secret(step.options.get(_KEY, GUILD))
        callers = world.callers
        send = callers.order if outcome.kind == 'order' else callers.chat
        name = step.options.get(_AS, '')
        world.start_call(
            outcome,
            lambda started: send(entry, secret, started),
            name if number == 0 else f'{name}/{number}',
        )

    def _declare(self, kind: str, name: str, options: dict[str, str]) -> None:
        world = self._world
        path = f'{kind}/{name}'
        call_name = options.pop(_AS, '')
        version = options.pop('version', '')
        fields = {key: _parse_value(text) for key, text in options.items()}
        if version != 'held':
            world.read_resource(path)
        spec = {**world.specs.get(path, {}), **fields}
        if kind == _KEY and name not in world.keys and 'sha256' not in spec:
            spec.update(world.create_key(name, spec['customer']))
        change = {
            'kind': kind,
            'name': name,
            'expected_version': world.versions.get(path, 0),
            'spec': spec,
        }
        outcome = Outcome('write', path, {'changes': [change]})
        world.start_call(outcome, world.callers.write, call_name)
        if not call_name and outcome.status != 200:
            raise ScenarioError(outcome.summary())
        if not call_name:
            world.fault_at = time.monotonic()
            world.versions[path] = outcome.fields['versions'][0]['version']
            world.specs[path] = spec

    def _record_fault_time(self) -> None:
        self._world.fault_at = time.monotonic()


def _parse_value(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        words = text.split(',')
        return [word for word in words if word] if len(words) > 1 else text
