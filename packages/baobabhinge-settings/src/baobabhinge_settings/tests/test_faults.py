"""Each fault of a settings folder has its code, file and line."""

import pytest

from baobabhinge_settings import (
    FaultCode,
    SettingsError,
    SourceFile,
    check_files,
    read_folder,
)
from baobabhinge_settings.reading.folder import MAX_FILE_BYTES

VALID_TEXT = """[region west]
failure-domains = west-a
[region east]
failure-domains = east-a
[service llm]
kind = model
deadline = 20 s
[version llm v2]
weights = llm/v2
[placement llm west]
replicas = 1 vms
[service ledger]
kind = plain
deadline = 5 s
[placement ledger east]
replicas = 1 vms
"""
INVALID_TEXTS = (
    ('unknown-section', 1, '[regions west]'),
    ('unknown-section', 1, '[region]'),
    ('unknown-section', 1, '[placement llm]'),
    ('unknown-section', 1, '[]'),
    ('unknown-key', 2, '[region south]\nfailure-domain = a'),
    ('duplicate-key', 3, '[workspace a]\nhome = west\nhome = west'),
    ('duplicate-section', 2, '[workspace a]\n[workspace a]'),
    ('duplicate-section', 2, '[workspace a]\n[ workspace  a ]'),
    ('malformed-line', 1, 'kind = model'),
    ('malformed-line', 2, '[workspace a]\nhome: west'),
    ('malformed-line', 2, '[workspace a]\n home = west'),
    ('missing-key', 1, '[region south]'),
    ('missing-key', 1, '[limit a]\nservice = llm'),
    ('missing-key', 1, '[service chat]\nkind = model\ndeadline = 1 s\n'
     '[version chat a]\nweights = a\n[version chat b]\nweights = b'),
    ('missing-reference', 1, '[adapter llms covers]\nweights = c'),
    ('missing-reference', 1, '[placement llm north]\nreplicas = 1 vms'),
    ('missing-reference', 3, '[adapter llm c]\nweights = c\nversions = v3'),
    ('missing-reference', 2, '[workspace a]\nhome = north'),
    ('missing-reference', 2, '[limit a]\nworkspace = b\nrate = 1 requests/s'),
    ('number-without-unit', 2, '[placement llm east]\nreplicas = 2'),
    ('decimal-comma', 2, '[placement llm east]\nreplicas = 1,5 vms'),
    ('decimal-comma', 2, '[limit a]\nrate = 1,000 requests/s'),
    ('bad-number', 2, "[limit a]\nrate = 1'000 requests/s"),
    ('bad-number', 2, '[limit a]\nrate = 1_000 requests/s'),
    ('bad-number', 2, '[limit a]\nrate = -1 requests/s'),
    ('bad-number', 2, '[limit a]\nrate = 1.5 requests/s'),
    ('bad-number', 2, '[limit a]\nrate = 9999999999 requests/s'),
    ('wrong-unit', 2, '[limit a]\nrate = 5 requests'),
    ('wrong-unit', 2, '[limit a]\nrate = 1 000 requests/s'),
    ('out-of-range', 2, '[limit a]\nrate = 0 requests/s'),
    ('out-of-range', 2, '[service ledger]\ndeadline = 99999999 h'),
    ('out-of-range', 1, '[link west west]\nlatency = 1 ms'),
    ('not-ascii', 2, '[limit a]\nrate = \u0661 requests/s'),
    ('not-ascii', 1, '[workspace de\u0430lers]\nhome = west'),
    ('not-ascii', 2, '[workspace a]\nhome = we\u0455t'),
    ('confusable-identifier', 3, '[workspace v1]\nhome = west\n[workspace vl]'),
    ('confusable-identifier', 2, '[version llm vo]\n[version llm v0]'),
    ('bad-identifier', 1, '[workspace Dealers]'),
    ('bad-identifier', 1, '[workspace 1a]'),
    ('bad-choice', 2, '[service chat]\nkind = llm'),
    ('bad-flag', 2, '[drain west-1]\nwanted = yes'),
    ('bad-pattern', 3, '[run-once ledger a]\nmethod = POST\npath = trades'),
    ('wrong-kind', 1, '[adapter ledger a]\nweights = a'),
    ('wrong-kind', 1, '[run-once llm a]\nmethod = POST\npath = /a'),
    ('weights-not-whole', 1, '[objective a]\ncost = 50 percent\n'
     'tail-latency = 50 percent\nsent-away = 1 percent'),
    ('override-not-allowed', 2, '[service llm]\nkind = plain'),
    ('region-without-backend', 1, '[region south]\nfailure-domains = a'),
    ('nowhere-to-run', 1, '[service chat]\nkind = model\ndeadline = 1 s'),
    ('nowhere-to-run', 3, '[data-rule a]\nregion = east\nmay-go-to = none'),
    ('nowhere-to-run', 3, '[data-rule a]\nregion = west\nmay-go-to = none\n'
     'service = ledger'),
)  # fmt: skip


@pytest.mark.parametrize(('code', 'line', 'text'), INVALID_TEXTS)
def test_invalid_text_is_reported_with_file_and_line(code, line, text):
    faults = check_files(
        [SourceFile('10-good.ini', VALID_TEXT), SourceFile('20-bad.ini', text)],
    )
    found = [(fault.source, fault.line, fault.code) for fault in faults]
    assert ('20-bad.ini', line, code) in found
    assert all(fault.message for fault in faults)


def test_valid_text_has_no_fault():
    assert not check_files([SourceFile('10-good.ini', VALID_TEXT)])


def test_faults_of_all_files_are_reported_sorted_by_file_and_line():
    files = [
        SourceFile('20.ini', '[limit a]\nrate = 5\n[workspace B]'),
        SourceFile('10.ini', f'{VALID_TEXT}[region south]\nfailure-domain = a'),
    ]
    faults = check_files(files)
    assert [(fault.source, fault.line, fault.code) for fault in faults] == [
        ('10.ini', 17, FaultCode.missing_key),
        ('10.ini', 17, FaultCode.region_without_backend),
        ('10.ini', 18, FaultCode.unknown_key),
        ('20.ini', 2, FaultCode.number_without_unit),
        ('20.ini', 3, FaultCode.bad_identifier),
    ]


@pytest.mark.parametrize(
    ('code', 'line', 'name', 'body'),
    [
        ('not-utf8', 2, '10.ini', b'; ok\n; \xe4\n'),
        ('file-too-large', 0, '10.ini', b';' * (MAX_FILE_BYTES + 1)),
        ('empty-folder', 0, 'notes.txt', b'nothing'),
        ('not-ascii', 0, '10-\u0430.ini', b''),
    ],
)
def test_invalid_file_is_reported_by_name(code, line, name, body, tmp_path):
    (tmp_path / name).write_bytes(body)
    with pytest.raises(SettingsError, match=f':{line}: {code}: '):
        read_folder(tmp_path)


def test_unreadable_file_is_reported(tmp_path):
    (tmp_path / '10.ini').mkdir()
    with pytest.raises(SettingsError, match='file-unreadable'):
        read_folder(tmp_path)


def test_every_fault_code_is_tested():
    tested = {code for code, _, _ in INVALID_TEXTS}
    tested |= {'not-utf8', 'file-too-large', 'empty-folder'}
    tested |= {'file-unreadable'}
    # Only settings files of processes have addresses; see test_addresses.py.
    tested |= {'bad-address'}
    assert tested == set(FaultCode)
