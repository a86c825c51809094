"""Use of the coordination package in programs other than the gateway."""

import ast
import os
import subprocess
import sys
from pathlib import Path

import pytest

import baobabhinge_coordination

PACKAGE = Path(baobabhinge_coordination.__file__).parent
ROOT = PACKAGE.parents[3]
GATEWAY_DEPENDENCIES = {'aiohttp', 'mode', 'structlog', 'defopt'}
SOURCES = sorted(
    path for path in PACKAGE.rglob('*.py') if 'tests' not in path.parts
)
EXPECTED_OUTPUT = """paying 40 yen
answered
answered
other-request
answered
not-run
sealed
"""


def list_imports(text):
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ''


@pytest.mark.parametrize('source', SOURCES, ids=lambda path: path.stem)
def test_the_package_imports_no_other_package_of_the_project(source):
    names = {
        name.partition('.')[0] for name in list_imports(source.read_text())
    }
    own = {name for name in names if name.startswith('baobabhinge')}
    assert own <= {'baobabhinge_coordination'}
    assert not names & GATEWAY_DEPENDENCIES


def test_the_embedding_example_runs():
    finished = subprocess.run(
        [sys.executable, ROOT / 'examples' / 'embedding_runonce.py'],
        env=os.environ,
        capture_output=True,
        text=True,
        check=True,
    )
    assert finished.stdout == EXPECTED_OUTPUT
