"""Restart of the gateways in turn after a new field came into their settings."""

import asyncio
import os
import signal
import tempfile
from collections import Counter
from pathlib import Path

from rig import (Client, config, free_port, free_range, Gateway, get_status,
                 now, Record, run_case, status, Store, Worker)

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
NEW_FIELD = '[limits]\naccelerator = "none"\n'
STARTS = 3
START_SECONDS = 10


def change_settings(gateway):
    """Write the settings file anew; with one more field if there is trouble."""
    text = gateway.path.read_text()
    if TROUBLE:
        text = text.replace('[limits]\n', NEW_FIELD, 1)
    gateway.path.write_text(text)


async def restart(gateway, record):
    """Stop a gateway as the platform does, and start it until it is ready."""
    gateway.stop(signal.SIGTERM)
    code = await asyncio.to_thread(gateway.process.wait, 20)
    record(f'{gateway.name} ended with {code} after SIGTERM')
    for number in range(1, STARTS + 1):
        gateway.start()
        end = now() + START_SECONDS
        while now() < end and gateway.process.poll() is None:
            if await get_status(gateway.ready, '/baobabhinge/ready') == 200:
                record(f'{gateway.name} is ready at start {number}')
                return True
            await asyncio.sleep(0.05)
        record(f'{gateway.name} start {number}: exit code {gateway.process.poll()}, '
               f'log ends: {read_last_line(gateway)}')
        gateway.stop()
        await asyncio.to_thread(gateway.process.wait, 5)
        await asyncio.sleep(1)
    return False


def read_last_line(gateway):
    """Return the last line of a log, without the name of the temporary folder."""
    last = gateway.log.read_text().strip().splitlines()[-1]
    return last.replace(f'{gateway.path.parent}/', '')


async def main():
    record = Record(HERE / 'record.txt')
    host = '127.0.0.1'
    with tempfile.TemporaryDirectory() as folder:
        store = Store()
        await store.start(host)
        worker = Worker('i-1', 'app', 'west-a', record)
        await worker.start(host)
        store.put('op/config', config())
        store.put('servers/i-1', worker.entry())
        ports = [free_port(host) for _ in range(4)]
        first = free_range(f'127.0.8.{n}' for n in (1, 2))
        gateways = [Gateway(f'front-west-a-{n}', f'127.0.8.{n}', 'west-a', store,
                            [*ports, first], folder) for n in (1, 2)]
        try:
            for gateway in gateways:
                gateway.start()
            for gateway in gateways:
                if not await gateway.wait_ready():
                    print('a gateway did not start with the first settings')
                    return 2
            await asyncio.sleep(2)
            before = await call_all(gateways, record, 'before')
            for gateway in gateways:
                change_settings(gateway)
                gateway.stop(signal.SIGHUP)
                record(f'{gateway.name}: settings written anew, SIGHUP sent')
            await asyncio.sleep(1)
            changed = await call_all(gateways, record, 'changed')
            started = [await restart(gateway, record) for gateway in gateways]
            after = await call_all(gateways, record, 'after')
        finally:
            for gateway in gateways:
                gateway.stop()
    for line in (
        f'answers before {before}, after SIGHUP {changed}, after the restarts {after}',
        f'Fault: {started.count(False)} of {len(started)} programs do not start',
    ):
        record(line)
        print(line)
    return 0 if all(started) else 1


async def call_all(gateways, record, name):
    """Return how often requests through both gateways were answered how."""
    codes = Counter()
    for number in range(20):
        client = Client(gateways[number % 2].front, record)
        try:
            message = await client.call('POST', '/once/book', f'{name}-{number}', b'x')
            codes[status(message)] += 1
        except OSError:
            codes['no connection'] += 1
        client.close()
    return dict(codes)


if __name__ == '__main__':
    run_case(main)
