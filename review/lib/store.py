"""Stand-in of the platform's store, by PROTOCOL.md."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from http_small import Server, compose

HISTORY_SECONDS = 20


class Store:
    """Items, leases and watches; one listener for each machine that asks.

    Attributes
    ----------
    faults : dict
        What the store does to a machine: ``silent`` or nothing.
    """

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 7000
        self.faults = {}
        self.is_down = False
        # Seconds that a message takes one way, by machine.
        self.delays = {}
        self.page = 500
        self.on_page = None
        self.forgotten = 0
        self._changed = asyncio.Event()
        self._servers = []

    async def start(self, addresses):
        """Listen at ``host`` for each machine; return their addresses."""
        for machine, host in addresses.items():
            async def answer(request, writer, machine=machine):
                return await self._answer(machine, request, writer)

            server = await Server(host, 0, answer).start()
            self._servers.append(server)
            addresses[machine] = f'{host}:{server.port}'
        asyncio.ensure_future(self._expire_forever())
        return addresses

    def put(self, key, value, lease=0):
        """Write an item; return the revision."""
        self.revision += 1
        created = self.items.get(key, {}).get('created-rev', self.revision)
        payload = value if isinstance(value, bytes) else json.dumps(
            value
        ).encode()
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(payload).decode(),
            'revision': self.revision,
            'created-rev': created,
            'lease': lease,
        }
        self._record(dict(self.items[key]))
        return self.revision

    def remove(self, key):
        """Remove an item."""
        if key in self.items:
            self.revision += 1
            self.items.pop(key)
            self._record(
                {'key': key, 'revision': self.revision, 'tombstone': True}
            )

    def _record(self, event):
        now = time.monotonic()
        self.history.append((now, event))
        while self.history and now - self.history[0][0] > HISTORY_SECONDS:
            self.forgotten = self.history.pop(0)[1]['revision']
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_forever(self):
        while True:
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if until < now and not self.is_down:
                    self._end_lease(lease)
            await asyncio.sleep(0.1)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    async def _answer(self, machine, request, writer):
        await self._fail(machine)
        await asyncio.sleep(0.004 + self.delays.get(machine, 0))
        status, told = await self._apply(request)
        if self.on_page is not None and told.get('more-pages'):
            self.on_page(machine, told)
        await asyncio.sleep(self.delays.get(machine, 0))
        await self._fail(machine)
        body = json.dumps(told).encode()
        writer.write(compose(status, {'Content-Type': 'application/json'}, body))
        await writer.drain()
        return True

    async def _fail(self, machine):
        if self.is_down or self.faults.get(machine) == 'silent':
            # No answer, also later on this channel.
            await asyncio.sleep(3600)

    async def _apply(self, request):
        query = {
            name: texts[0] for name, texts in parse_qs(request.query).items()
        }
        name = request.path.removeprefix('/baobabhinge/')
        told = json.loads(request.body) if request.body else {}
        if name == 'kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'as-of': self.revision}
        if name == 'kv-range':
            return 200, self._list(query)
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            return self._write(told)
        if name == 'kv-lease':
            self.next_lease += 1
            seconds = told['ttl-ms'] / 1000
            self.leases[self.next_lease] = (seconds, time.monotonic() + seconds)
            return 200, {'lease': self.next_lease, 'ttl-ms': told['ttl-ms']}
        if name.startswith('kv-keep/'):
            lease = int(name.removeprefix('kv-keep/'))
            if lease not in self.leases:
                return 404, {}
            seconds = self.leases[lease][0]
            self.leases[lease] = (seconds, time.monotonic() + seconds)
            return 200, {'ttl-ms': int(seconds * 1000)}
        if name.startswith('kv-lease-end/'):
            self._end_lease(int(name.removeprefix('kv-lease-end/')))
            return 200, {}
        return 404, {}

    def _list(self, query):
        keys = sorted(
            key for key in self.items if key.startswith(query['path-prefix'])
        )
        keys = [key for key in keys if key > query.get('after', '')]
        return {
            'items': [self.items[key] for key in keys[: self.page]],
            'more-pages': len(keys) > self.page,
            'as-of': self.revision,
        }

    async def _watch(self, query):
        after = int(query['after'])
        until = time.monotonic() + int(query['wait-ms']) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            events = [
                event for _, event in self.history
                if event['revision'] > after
                and event['key'].startswith(query['path-prefix'])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'as-of': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _write(self, told):
        for row in told.get('expected-rev', []):
            known = self.items.get(row['key'], {}).get('revision', 0)
            if known != row['revision']:
                return 412, {'items': []}
        for write in told.get('writes', []):
            if write.get('lease') and write['lease'] not in self.leases:
                return 404, {}
            if write['key'].startswith(('op/', 'servers/')):
                return 403, {}
        for write in told.get('writes', []):
            payload = base64.b64decode(write['value'])
            self.put(write['key'], payload, write.get('lease', 0))
        for key in told.get('remove', []):
            self.remove(key)
        return 200, {'revision': self.revision}
