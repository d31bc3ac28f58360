"""Tests of the example files and the operators' reference."""

from __future__ import annotations

import re
import shutil
from pathlib import Path

import pytest

from apricotcart.commands.registry import COMMANDS
from apricotcart.observability.catalogue import METRICS
from apricotcart.observability.redaction import ALLOWED_FIELDS
from apricotcart.run import run
from apricotcart.settings.document import Section

_ROOT = Path(__file__).resolve().parents[2]


@pytest.fixture
def examples(tmp_path: Path) -> Path:
    """Return a copy of the examples with the secret files they name."""
    folder = tmp_path / 'examples'
    shutil.copytree(_ROOT / 'examples', folder)
    for name in ('cluster.secret', 'operator.token'):
        (folder / name).write_text('0123456789abcdef')
    return folder


@pytest.mark.parametrize(
    ('kind', 'name'),
    [
        ('entry', 'entry.ini'),
        ('control', 'control-1.ini'),
        ('resources', 'resources.ini'),
    ],
)
def test_examples_pass_check(examples: Path, kind: str, name: str) -> None:
    """Guards against an example that a start would reject."""
    assert run(['check', kind, str(examples / name)]) == 0


@pytest.fixture
def reference() -> str:
    """Return the text of the operators' reference."""
    return (_ROOT / 'docs' / 'operators.md').read_text()


def test_reference_names_every_setting(reference: str) -> None:
    """Guards against a reference with missing or outdated settings."""
    section: str | None = None
    documented = set()
    for line in reference.splitlines():
        title = re.match(r'##+ (?:`\[(\w+)\])?', line)
        section = title.group(1) if title else section
        key = re.match(r'\| `(\w+)` \|', line)
        if key and section:
            documented.add(f'[{section}] {key.group(1)}')
    known = {
        f'[{section.title}] {field.name}'
        for section in Section.__subclasses__()
        for field in section.fields
    }
    assert documented == known


def test_reference_names_metrics_and_fields(reference: str) -> None:
    """Guards against metrics, log fields or commands not in the reference."""
    names = [metric.name for metric in METRICS]
    names.extend(ALLOWED_FIELDS)
    names.extend(f'apricotcart {command.name}' for command in COMMANDS)
    missing = [name for name in names if f'`{name}' not in reference]
    assert not missing
