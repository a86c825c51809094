import pytest

from baobabhinge_operator.errors import OperatorSettingsError
from baobabhinge_operator.operator_settings import read_operator_settings

VALID_TEXT = """[operator]
author = mika
key-value = http://store.example:8500
vm-list = http://platform.example:8600/vms
gateways = 10.0.1.4:8080, 10.0.2.4:8080
"""


@pytest.fixture
def path(tmp_path, monkeypatch):
    path = tmp_path / 'mine.ini'
    monkeypatch.setenv('BAOBABHINGE_SETTINGS', str(path))
    return path


def test_configured_addresses(path):
    path.write_text(VALID_TEXT)
    settings = read_operator_settings()
    assert settings.publisher == 'mika'
    assert settings.choose_store(None) == 'http://store.example:8500'
    assert settings.choose_vm_list(None) == 'http://platform.example:8600/vms'
    assert settings.list_gateways(None) == ['10.0.1.4:8080', '10.0.2.4:8080']


@pytest.mark.parametrize('text', ['', '[operator]\n', None])
def test_no_key_is_required(path, text):
    if text is not None:
        path.write_text(text)
    assert not read_operator_settings().author


@pytest.mark.parametrize(
    ('code', 'line', 'old', 'new'),
    [
        ('unknown-section', 1, '[operator]', '[operators]'),
        ('unknown-key', 2, 'author', 'name'),
        ('duplicate-key', 3, 'key-value', 'author'),
        ('malformed-line', 2, 'author =', 'author:'),
        ('bad-address', 3, 'http://', ''),
        ('bad-address', 4, 'http://platform.example', 'platform.example'),
        ('bad-address', 5, '10.0.2.4:8080', '10.0.2.4'),
    ],
)
def test_fault_is_reported_with_its_line(path, code, line, old, new):
    path.write_text(VALID_TEXT.replace(old, new, 1))
    with pytest.raises(OperatorSettingsError, match=f'ini:{line}: {code}: '):
        read_operator_settings()


def test_all_faults_are_reported_together(path):
    path.write_text(VALID_TEXT.replace('author', 'name').replace('http://', ''))
    with pytest.raises(OperatorSettingsError) as raised:
        read_operator_settings()
    assert len(str(raised.value).split('\n')) == 3
