"""Each fault of a link, seen from both of its ends."""

import asyncio
import socket
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from baobabhinge_standins.links import (
    CUT,
    HALF_OPEN,
    HEALTHY,
    REFUSED,
    Impairment,
    LinkFault,
    LinkOrder,
    Links,
)
from baobabhinge_standins.links.app import LinkApp
from baobabhinge_standins.links.listening import Gate

SILENCE = 0.2
PATIENCE = 10


async def echo(reader, writer):
    while chunk := await reader.read(1000):
        writer.write(chunk)
    writer.close()


@asynccontextmanager
async def run_link(latency_ms=0):
    target = await asyncio.start_server(echo, '127.0.0.1', 0)
    port = target.sockets[0].getsockname()[1]
    async with (
        TestServer(LinkApp().build()) as server,
        aiohttp.ClientSession() as http,
        target,
    ):
        links = Links(http, str(server.make_url('/')).rstrip('/'))
        order = LinkOrder(
            'a>b', f'127.0.0.1:{port}', 'west', 'east', latency_ms
        )
        ports = await links.add([order])
        yield links, ports['a>b'], target


async def exchange(reader, writer, sent=b'ping'):
    writer.write(sent)
    return await asyncio.wait_for(reader.readexactly(len(sent)), PATIENCE)


async def is_silent(reader):
    try:
        await asyncio.wait_for(reader.read(1), SILENCE)
    except TimeoutError:
        return True
    return False


@pytest.mark.parametrize(
    'fault',
    [
        CUT,
        LinkFault(forward=Impairment(is_cut=True)),
        LinkFault(backward=Impairment(is_cut=True)),
    ],
)
async def test_cut_holds_bytes_until_healed(fault):
    async with run_link() as (links, port, _):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        assert await exchange(reader, writer) == b'ping'
        await links.set_fault(fault, 'a>b')
        writer.write(b'late')
        assert await is_silent(reader)
        await links.heal()
        assert (
            await asyncio.wait_for(reader.readexactly(4), PATIENCE) == b'late'
        )
        writer.close()


async def test_region_is_cut_at_its_border_only():
    async with run_link() as (links, port, _):
        assert links.book.find_crossing('east') == ['a>b']
        assert links.book.find_crossing('north') == []
        assert links.book.find_touching('b') == ['a>b']
        await links.cut_region('west')
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'ping')
        assert await is_silent(reader)
        writer.close()


async def test_refused_link_listens_again_at_its_port():
    async with run_link() as (links, port, _):
        await links.set_fault(REFUSED)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection('127.0.0.1', port)
        await links.set_fault(HEALTHY)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        assert await exchange(reader, writer) == b'ping'
        writer.close()


async def test_port_of_a_refused_link_is_given_to_nobody():
    async with run_link() as (links, port, _):
        await links.set_fault(REFUSED)
        with socket.socket() as other, pytest.raises(OSError, match='in use'):
            other.bind(('127.0.0.1', port))
        await links.set_fault(HEALTHY)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        assert await exchange(reader, writer) == b'ping'
        writer.close()


@pytest.mark.parametrize('is_closed', [True, False])
async def test_gate_is_opened_twice_at_once(is_closed):
    gate = Gate('127.0.0.1:9', echo)
    await gate.open()
    gate.close()
    opening = [asyncio.create_task(gate.open()) for _ in range(2)]
    await asyncio.sleep(0)
    if is_closed:
        gate.close()
    await asyncio.gather(*opening)
    assert await accepts(gate.port) is not is_closed
    gate.close()
    assert not await accepts(gate.port)


async def test_half_open_link_accepts_and_says_nothing():
    async with run_link() as (links, port, _):
        await links.set_fault(HALF_OPEN)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'ping')
        assert await is_silent(reader)
        writer.close()


async def test_reset_ends_open_connections():
    async with run_link() as (links, port, _):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        assert await exchange(reader, writer) == b'ping'
        await links.reset('a>b')
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(1), PATIENCE)


async def test_reset_in_the_body_delivers_what_came_before():
    async with run_link() as (links, port, _):
        fault = LinkFault(backward=Impairment(reset_after_bytes=6))
        await links.set_fault(fault)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        assert await exchange(reader, writer) == b'ping'
        writer.write(b'pong')
        arrived = b''
        with pytest.raises(ConnectionResetError):
            while piece := await asyncio.wait_for(reader.read(9), PATIENCE):
                arrived += piece
        assert arrived in {b'', b'po'}
        traffic = await links.read_traffic()
        assert traffic[0].backward_bytes == 6


@pytest.mark.parametrize(
    ('latency_ms', 'impairment', 'at_least'),
    [
        (50, Impairment(), 0.1),
        (0, Impairment(delay_ms=60), 0.06),
        (0, Impairment(bits_per_second=80_000), 0.1),
    ],
)
async def test_bytes_take_their_time(latency_ms, impairment, at_least):
    async with run_link(latency_ms) as (links, port, _):
        await links.set_fault(LinkFault(backward=impairment))
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        started = asyncio.get_running_loop().time()
        await exchange(reader, writer, b'x' * 1000)
        assert asyncio.get_running_loop().time() - started >= at_least
        writer.close()


async def test_link_refuses_while_its_target_is_gone():
    async with run_link() as (links, port, target):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        assert await exchange(reader, writer) == b'ping'
        address = target.sockets[0].getsockname()
        target.close()
        await links.reset()
        await asyncio.wait_for(wait_state(port, is_open=False), PATIENCE)
        async with await asyncio.start_server(echo, *address):
            await asyncio.wait_for(wait_state(port, is_open=True), PATIENCE)
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            assert await exchange(reader, writer) == b'ping'
            writer.close()


async def accepts(port):
    try:
        _, writer = await asyncio.open_connection('127.0.0.1', port)
    except ConnectionError:
        return False
    writer.close()
    return True


async def wait_state(port, *, is_open):
    while await accepts(port) is not is_open:
        await asyncio.sleep(0.01)
