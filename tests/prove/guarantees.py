"""The 13 guarantees with the scenarios and tests that prove them."""

from __future__ import annotations


class Guarantee:
    """One guarantee of the design page.

    Parameters
    ----------
    number : int
        Number on the page.
    name : str
        Fixed name on the page.
    scenarios : tuple of str
        Scenario files that prove it on real processes.
    tests : tuple of str
        Tests of the decision modules, with the mechanism on and off.
    """

    __slots__ = ('name', 'number', 'scenarios', 'tests')

    def __init__(
        self,
        *,
        number: int,
        name: str,
        scenarios: tuple[str, ...],
        tests: tuple[str, ...],
    ) -> None:
        self.number = number
        self.name = name
        self.scenarios = scenarios
        self.tests = tests

    def line(self) -> str:
        """Return the number, the name and the commands that prove it."""
        tests = ' '.join(f'tests/{test}' for test in self.tests)
        return (
            f'{self.number:2} {self.name:22} scripts/prove {self.name}; '
            f'scripts/prove --pytest {tests}'
        )


# Guarantees whose failure costs money come first.
GUARANTEES = (
    Guarantee(
        number=10,
        name='run-once',
        scenarios=(
            'order-frozen-host',
            'order-host-killed',
        ),
        tests=(
            'state/test_orders_model.py',
            'state/test_orders.py',
        ),
    ),
    Guarantee(
        number=5,
        name='key-withdrawal',
        scenarios=('key-cut',),
        tests=('distribution/test_key_model.py',),
    ),
    Guarantee(
        number=6,
        name='single-platform-writer',
        scenarios=('platform-leader-frozen',),
        tests=(
            'platform/test_authority.py',
            'platform/test_leader.py',
        ),
    ),
    Guarantee(
        number=7,
        name='usage-once',
        scenarios=(
            'usage-host-killed',
            'usage-leader-frozen',
        ),
        tests=(
            'state/test_usage_model.py',
            'platform/test_reporter.py',
        ),
    ),
    Guarantee(
        number=13,
        name='config-in-force',
        scenarios=(
            'config-leader-killed',
            'config-race-frozen',
            'config-replaced-host',
            'config-500-restart',
        ),
        tests=(
            'state/test_resources_model.py',
            'distribution/test_key_model.py',
            'consensus/test_mechanisms.py',
        ),
    ),
    Guarantee(
        number=9,
        name='truthful-not-run',
        scenarios=(
            'not-run',
            'not-run-dead-service',
        ),
        tests=(
            'entry/test_upstream_proofs.py',
            'state/test_orders_model.py',
        ),
    ),
    Guarantee(
        number=12,
        name='graceful-stop',
        scenarios=('stop-each-role',),
        tests=('membership/test_directory.py',),
    ),
    Guarantee(
        number=11,
        name='endpoint-drain',
        scenarios=('endpoint-leaving',),
        tests=('membership/test_drain.py',),
    ),
    Guarantee(
        number=8,
        name='whole-answers',
        scenarios=(
            'whole-answers',
            'crashing-prompt',
        ),
        tests=(
            'entry/test_upstream_proofs.py',
            'scheduling/test_failures.py',
        ),
    ),
    Guarantee(
        number=3,
        name='customer-isolation',
        scenarios=('isolation',),
        tests=('distribution/test_configcopy.py',),
    ),
    Guarantee(
        number=4,
        name='key-containment',
        scenarios=('key-containment',),
        tests=('entry/test_headers.py',),
    ),
    Guarantee(
        number=1,
        name='tier-order',
        scenarios=('tier-order',),
        tests=('scheduling/test_failures.py',),
    ),
    Guarantee(
        number=2,
        name='no-starvation',
        scenarios=('no-starvation',),
        tests=('scheduling/test_failures.py',),
    ),
)
