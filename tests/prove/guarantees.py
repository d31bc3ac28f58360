"""The 13 guarantees and what proves them."""

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
        """Keep the fields."""
        self.number = number
        self.name = name
        self.scenarios = scenarios
        self.tests = tests

    def line(self) -> str:
        """Give number, name and the commands that prove it."""
        tests = ' '.join(f'tests/{test}' for test in self.tests)
        return (
            f'{self.number:2} {self.name:22} scripts/prove {self.name}; '
            f'scripts/prove --pytest {tests}'
        )


# Guarantees that lose money when broken come first.
GUARANTEES = (
    Guarantee(
        number=10,
        name='run-once',
        scenarios=('order-frozen-host', 'order-host-killed'),
        tests=('state/test_orders_model.py',),
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
        tests=('platform/test_authority.py', 'platform/test_leader.py'),
    ),
)
