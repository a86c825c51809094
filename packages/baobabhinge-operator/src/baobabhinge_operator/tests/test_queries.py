"""Commands that run without a service, started as an operator does."""

import subprocess
import sys

import msgspec
import pytest

VALID_TEXT = """[region west]
failure-domains = west-a
[service llm]
kind = model
deadline = 20 s
[placement llm west]
replicas = 1 vms
"""


@pytest.fixture
def folder(tmp_path):
    (tmp_path / '10.ini').write_text(VALID_TEXT)
    return tmp_path


def run(*arguments):
    completed = subprocess.run(
        [sys.executable, '-m', 'baobabhinge_operator', *arguments],
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.returncode, completed.stdout, completed.stderr


def test_check_of_a_valid_folder(folder):
    assert run('check', str(folder)) == (0, 'no fault\n', '')


def test_check_names_file_line_and_code(folder):
    (folder / '20.ini').write_text('[limit all]\nrate = 5\n[regions a]\n')
    code, _, errors = run('check', str(folder))
    assert code == 1
    assert '20.ini:2: number-without-unit: ' in errors
    assert '20.ini:3: unknown-section: ' in errors


def test_check_as_json(folder):
    (folder / '20.ini').write_text('[limit all]\nrate = 5\n')
    code, shown, _ = run('check', str(folder), '--json')
    faults = msgspec.json.decode(shown)
    assert code == 1
    assert [(fault['line'], fault['code']) for fault in faults] == [
        (2, 'number-without-unit'),
    ]


def test_explain_names_the_files(folder):
    (folder / '20.ini').write_text('[placement llm west]\nreplicas = 2 vms\n')
    arguments = ('explain', 'placement llm west', 'replicas', '--folder')
    assert run(*arguments, str(folder))[1] == (
        '20.ini:2: 2 vms\n  overrides 10.ini:7: 1 vms\n'
    )


@pytest.mark.parametrize(
    ('arguments', 'exit_code', 'code'),
    [
        (('show',), 2, 'bad-addresses: '),
        (('entries',), 2, 'bad-addresses: '),
        (('show', '--key-value=http://127.0.0.1:9'), 4, 'store-unreachable: '),
        (('entries', '--gateway=127.0.0.1:9'), 4, 'gateway-unreachable: '),
        (('show', '--key-value=nonsense'), 2, 'bad-addresses: '),
        (('history', '--key-value=127.0.0.1:9'), 2, 'bad-addresses: '),
        (('entries', '--gateway=nonsense'), 2, 'bad-addresses: '),
        (('status', '--gateway=http://127.0.0.1:9'), 2, 'bad-addresses: '),
        (('check', 'none'), 1, 'settings-refused: none:0: empty-folder: '),
        (('drain', 'West'), 1, 'bad-vm-name: '),
        (('unknown',), 2, 'usage: baobabhinge'),
    ],
)
def test_each_failure_has_its_exit_code(arguments, exit_code, code):
    returncode, _, errors = run(*arguments)
    assert returncode == exit_code
    assert errors.startswith(code)
