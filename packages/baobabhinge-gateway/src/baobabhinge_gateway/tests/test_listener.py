import asyncio
import socket
import subprocess
import sys

import pytest
import structlog
from aiohttp import web

from baobabhinge_gateway.errors import AddressTakenError
from baobabhinge_gateway.listener import Listener

PROCESS_SETTINGS = """
[process]
name = west-gateway-1
region = west
failure-domain = west-a
caller-address = 127.0.0.1:{port}
peer-address = 127.0.0.1:{port}
[platform]
key-value = http://127.0.0.1:9
vm-list = http://127.0.0.1:9/vms
client-directory = http://127.0.0.1:9/directory
"""


async def listen_at_address_in_use():
    server = await asyncio.start_server(asyncio.Event, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        await Listener(web.Application(), f'127.0.0.1:{port}').on_start()


def test_address_in_use_is_named_in_error_and_log():
    with (
        structlog.testing.capture_logs() as lines,
        pytest.raises(AddressTakenError, match=r'127\.0\.0\.1:\d+: in use'),
    ):
        asyncio.run(listen_at_address_in_use())
    assert [line['event'] for line in lines] == ['address-taken']


def test_process_exits_with_error_if_its_address_is_in_use(tmp_path):
    path = tmp_path / 'process.ini'
    with socket.create_server(('127.0.0.1', 0)) as taken:
        port = taken.getsockname()[1]
        path.write_text(PROCESS_SETTINGS.format(port=port))
        finished = subprocess.run(
            (sys.executable, '-m', 'baobabhinge_gateway', f'--settings={path}'),
            capture_output=True,
            text=True,
            timeout=60,
        )
    assert finished.returncode == 1
    assert f'"address": "127.0.0.1:{port}"' in finished.stderr
