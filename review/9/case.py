"""A request that crashes its workers comes again after all gateways were killed."""

import asyncio
import os
import signal
import socket
import struct
import tempfile
from pathlib import Path

from rig import (Client, config, free_port, free_range, Gateway, now,
                 Record, route, run_case, status, Store, Worker)

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CONTACT_SECONDS = 6.0
BACK_SECONDS = 2.0
# Times at which the request comes after the first start, and after each kill.
ARRIVALS = (0.5, 4.0, 23.0)
KILLS = 2
CRASHING = '/once/crash'


class FragileWorker(Worker):
    """Worker that ends when it begins to run one request, and comes back."""

    def __init__(self, name, store, record):
        super().__init__(name, 'app', 'west-a', record, FragileWorker.work)
        self.base, self.store, self.starts, self.writers = name, store, 1, set()
        self.crashes = []

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.accept, host, port, limit=1 << 20)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]
        self.store.put(f'servers/{self.name}', self.entry())

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def work(self, first, headers, body, writer):
        if CRASHING not in first:
            await Worker.plain(self, first, headers, body, writer)
            return
        self.ran(headers)
        self.crashes.append((now(), dict(headers)['baobabhinge-attempt-id']))
        self.record(f'{self.name} crashes')
        self.server.close()
        self.task = asyncio.create_task(self.come_back())
        for one in list(self.writers):
            opened = one.get_extra_info('socket')
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
            one.transport.abort()

    async def come_back(self):
        before, (host, port) = self.name, self.address.split(':')
        await asyncio.sleep(BACK_SECONDS)
        self.starts += 1
        self.name = f'{self.base}-{self.starts}'
        await self.start(host, int(port))
        self.record(f'{self.name} starts')
        await asyncio.sleep(1.6)
        # After three check-in intervals of silence.
        self.store.remove(f'servers/{before}')


async def main():
    record = Record(HERE / 'record.txt')
    host = '127.0.0.1'
    with tempfile.TemporaryDirectory() as folder:
        store = Store()
        await store.start(host)
        workers = [FragileWorker(f'i-{n}', store, record) for n in (1, 2, 3)]
        models = [Worker(f'm-{n}', 'llm', 'west-a', record) for n in (1, 2)]
        store.put('op/config', config(services=('app', 'llm'), routes=[
            route('/once/', 'unsafe'), route('/model/', 'streaming', service='llm')]))
        for worker in workers:
            await worker.start(host)
        for model in models:
            await model.start(host)
            store.put(f'servers/{model.name}', model.entry())
        ports = [free_port(host) for _ in range(4)]
        first = free_range(f'127.0.11.{n}' for n in (1, 2))
        gateways = [Gateway(f'front-west-a-{n}', f'127.0.11.{n}', 'west-a', store,
                            [*ports, first], folder) for n in (1, 2)]
        sent = {}
        try:
            for count in range(KILLS + 1):
                if count == 0 or TROUBLE:
                    for gateway in gateways:
                        gateway.stop(signal.SIGKILL)
                        if count:
                            record(f'{gateway.name} is killed')
                            await asyncio.to_thread(gateway.process.wait, 5)
                    for gateway in gateways:
                        gateway.start()
                    for gateway in gateways:
                        if not await gateway.wait_ready():
                            print('a gateway did not start')
                            return 2
                    started = now()
                    # From here on, the gateways are in touch.
                    await asyncio.sleep(CONTACT_SECONDS + 0.3)
                begin = now()
                for number, arrival in enumerate(ARRIVALS):
                    await asyncio.sleep(max(0, begin + arrival - now()))
                    attempt = f'crash-{count}-{number}'
                    sent[attempt] = now()
                    client = Client(gateways[number % 2].front, record)
                    await client.call('POST', CRASHING, attempt, b'the same')
                    client.close()
        finally:
            for gateway in gateways:
                gateway.stop()
    return judge(workers, sent, record)


def judge(workers, sent, record):
    crashes = sorted(crash for worker in workers for crash in worker.crashes)
    third = crashes[2][0] if len(crashes) > 2 else float('inf')
    late = [attempt for _, attempt in crashes if sent[attempt] > third + CONTACT_SECONDS]
    for line in (
        f'the request came {len(sent)} times and crashed {len(crashes)} workers',
        f'BUDGET: it reached workers {len(late)} times later than contact-ms after it had '
        f'crashed the third, sent by machines in touch (the rule allows 3): {late}',
    ):
        record(line)
        print(line)
    return 1 if len(late) > 3 else 0


if __name__ == '__main__':
    run_case(main)
