"""Addresses of processes and services in settings files."""

import pytest

from baobabhinge_settings.errors import FieldError
from baobabhinge_settings.schema.addresses import (
    parse_address,
    parse_addresses,
    parse_url,
)


@pytest.mark.parametrize(
    ('parse', 'text'),
    [
        (parse_address, '10.0.0.5:1'),
        (parse_address, 'store.example:65535'),
        (parse_address, '[2001:db8::5]:7080'),
        (parse_addresses, '10.0.0.5:1, 10.0.0.6:1'),
        (parse_url, 'http://10.0.0.9:8500'),
        (parse_url, 'https://store.example/vms'),
        (parse_url, 'http://[2001:db8::9]:8500'),
    ],
)
def test_valid_address_is_returned_unchanged(parse, text):
    assert parse(text) == text


@pytest.mark.parametrize(
    ('parse', 'text'),
    [
        (parse_address, ''),
        (parse_address, '10.0.0.5'),
        (parse_address, '10.0.0.5:65536'),
        (parse_address, '10.0.0.5:+1'),
        (parse_address, '10.0.0.5 :1'),
        (parse_address, 'w\u0435st:1'),
        (parse_addresses, '10.0.0.5:1,'),
        (parse_addresses, '10.0.0.5:1; 10.0.0.6:1'),
        (parse_url, '10.0.0.9:8500'),
        (parse_url, 'http:// 10.0.0.9'),
        (parse_url, 'ftp://10.0.0.9'),
    ],
)
def test_invalid_address_is_refused_with_an_ascii_message(parse, text):
    with pytest.raises(FieldError) as raised:
        parse(text)
    assert raised.value.code == 'bad-address'
    assert raised.value.message.isascii()
