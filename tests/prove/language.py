"""Reads scenario files."""

from __future__ import annotations

from pathlib import Path

from lark import Lark, Token, Tree
from lark.exceptions import LarkError

FOLDER = Path(__file__).parent
SCENARIOS = FOLDER / 'scenarios'
_PARSER = Lark((FOLDER / 'grammar.lark').read_text(), parser='lalr')


class ScenarioError(Exception):
    """A scenario is malformed, or what it expects did not happen."""


class Step:
    """One line of a scenario.

    Parameters
    ----------
    line : int
        Line number in the file.
    at_s : float or None
        Seconds after the start of the cluster, or as soon as possible.
    verb : str
        Name of the action.
    words : list of str
        Operands of the action.
    options : dict of str to str
        Options by name.
    """

    __slots__ = ('at_s', 'line', 'options', 'verb', 'words')

    def __init__(
        self,
        *,
        line: int,
        at_s: float | None,
        verb: str,
        words: list[str],
        options: dict[str, str],
    ) -> None:
        self.line = line
        self.at_s = at_s
        self.verb = verb
        self.words = words
        self.options = options

    def __str__(self) -> str:
        """Return the step as text."""
        options = [f'{key}={text}' for key, text in self.options.items()]
        return ' '.join([self.verb, *self.words, *options])


def parse_steps(text: str) -> list[Step]:
    """Parse the text of a scenario.

    Raises
    ------
    ScenarioError
        If a line is malformed.
    """
    try:
        tree = _PARSER.parse(f'{text}\n')
    except LarkError as exc:
        raise ScenarioError(str(exc)) from exc
    return [_step(line) for line in tree.children if isinstance(line, Tree)]


def read_scenario(name: str) -> list[Step]:
    """Read a scenario file of the repository by name."""
    return parse_steps((SCENARIOS / f'{name}.scn').read_text())


def _step(line: Tree[Token]) -> Step:
    time, verb, *items = line.children
    words: list[str] = []
    options: dict[str, str] = {}
    for item in items:
        if item.data == 'option':
            name, text = item.children
            options[str(name)] = _text(text)
        else:
            words.append(_text(item))
    at_s = None if time is None else float(time.children[0])
    return Step(
        line=verb.line,
        at_s=at_s,
        verb=str(verb),
        words=words,
        options=options,
    )


def _text(tree: Tree[Token]) -> str:
    return str(tree.children[0]).strip('"')
