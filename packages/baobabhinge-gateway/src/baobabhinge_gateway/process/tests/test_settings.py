"""Process settings: valid ones, and each fault with its code and line."""

import subprocess
import sys
from datetime import timedelta

import pytest

from baobabhinge_gateway.process import (
    ProcessSettingsError,
    read_process_settings,
)

VALID = """[process]
name = west-gateway-1
region = west
failure-domain = west-a
caller-address = 10.0.0.5:7080
peer-address = 10.0.0.5:7000
[platform]
key-value = http://store.example:8500
vm-list = http://platform.example:8600/vms
client-directory = http://platform.example:8600/directory
"""
# Code and line of the fault, and the text replaced in `VALID` to cause it;
# `$` appends the text instead.
FAULTS = (
    ('unknown-section', 11, ('$', '[platforms]\n')),
    ('unknown-section', 11, ('$', '[platform west]\n')),
    ('unknown-key', 3, ('region =', 'regoin =')),
    ('missing-key', 1, ('region = west\n', '')),
    ('missing-key', 0, ('[platform]\n', '')),
    ('duplicate-key', 4, ('region = west', 'region = west\nregion = west')),
    ('duplicate-section', 11, ('$', '[process]\n')),
    ('malformed-line', 3, ('region = west', 'region: west')),
    ('malformed-line', 3, ('region = west', ' region = west')),
    ('bad-identifier', 3, ('region = west', 'region = West')),
    ('bad-identifier', 2, ('west-gateway-1', '')),
    ('not-ascii', 3, ('region = west', 'region = we\u0455t')),
    ('bad-address', 5, ('10.0.0.5:7080', '10.0.0.5')),
    ('bad-address', 5, ('10.0.0.5:7080', '10.0.0.5:0')),
    ('bad-address', 5, ('10.0.0.5:7080', '10.0.0.5:70800')),
    ('bad-address', 5, ('10.0.0.5:7080', 'http://10.0.0.5:7080')),
    ('bad-address', 5, ('10.0.0.5:7080', '10.0.0.5:\u0661')),
    ('bad-address', 7, ('[platform]', 'seeds = 10.0.0.6\n[platform]')),
    ('bad-address', 8, ('http://store.example:8500', '10.0.0.9:8500')),
    ('bad-address', 8, ('http://store.example:8500', 'http://')),
    ('out-of-range', 7, ('[platform]', 'key-age = 19 s\n[platform]')),
    ('out-of-range', 7, ('[platform]', 'key-age = 16 min\n[platform]')),
    ('wrong-unit', 7, ('[platform]', 'key-age = 20 days\n[platform]')),
    ('number-without-unit', 7, ('[platform]', 'key-age = 20\n[platform]')),
)


def write(folder, text):
    path = folder / 'gateway.ini'
    path.write_text(text, encoding='utf-8')
    return path


def change(old, new):
    return VALID + new if old == '$' else VALID.replace(old, new, 1)


def test_valid_settings(tmp_path):
    text = VALID.replace(
        '[platform]',
        'seeds = 10.0.0.6:7000, 10.0.0.7:7000\n[platform]',
    )
    settings = read_process_settings(write(tmp_path, text))
    assert settings.identity.failure_domain == 'west-a'
    assert settings.identity.caller_address == '10.0.0.5:7080'
    assert settings.identity.list_seeds() == ['10.0.0.6:7000', '10.0.0.7:7000']
    assert settings.platform.vm_list == 'http://platform.example:8600/vms'


def test_seeds_and_key_age_are_optional(tmp_path):
    settings = read_process_settings(write(tmp_path, VALID))
    assert not settings.identity.list_seeds()
    assert settings.identity.key_age == timedelta(minutes=5)


@pytest.mark.parametrize(('text', 'seconds'), [('20 s', 20), ('15 min', 900)])
def test_key_age_within_its_bounds(text, seconds, tmp_path):
    lines = change('[platform]', f'key-age = {text}\n[platform]')
    settings = read_process_settings(write(tmp_path, lines))
    assert settings.identity.key_age == timedelta(seconds=seconds)


@pytest.mark.parametrize(('code', 'line', 'changed'), FAULTS)
def test_fault_is_reported_with_its_line(code, line, changed, tmp_path):
    path = write(tmp_path, change(*changed))
    with pytest.raises(
        ProcessSettingsError, match=f'gateway.ini:{line}: {code}: '
    ):
        read_process_settings(path)


def test_all_faults_are_reported_together(tmp_path):
    text = VALID.replace('region = west', 'region = West', 1)
    path = write(tmp_path, text.replace('10.0.0.5:7000', 'nowhere'))
    with pytest.raises(ProcessSettingsError) as error:
        read_process_settings(path)
    assert [line.split(': ')[:2] for line in str(error.value).split('\n')] == [
        ['gateway.ini:3', 'bad-identifier'],
        ['gateway.ini:6', 'bad-address'],
    ]


@pytest.mark.parametrize(
    ('body', 'code'),
    [
        (None, 'file-unreadable'),
        (b'; \xe4', 'not-utf8'),
        (b';' * (1 << 20), 'file-too-large'),
        (b'', 'missing-key'),
    ],
)
def test_daemon_exits_with_code_for_bad_settings(body, code, tmp_path):
    """Unusable settings give a short message, not a traceback."""
    path = tmp_path / 'gateway.ini'
    if body is not None:
        path.write_bytes(body)
    finished = subprocess.run(
        [
            sys.executable,
            '-m',
            'baobabhinge_gateway',
            f'--settings={path}',
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    assert finished.returncode == 2
    assert 'gateway.ini:' in finished.stderr
    assert f': {code}: ' in finished.stderr
    assert 'Traceback' not in finished.stderr
