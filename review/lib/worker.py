"""Stand-in of a worker, by PROTOCOL.md."""

import asyncio
import itertools
import time

from http_small import Server, compose

ATTEMPT = 'Baobabhinge-Attempt-Id'
NUMBERS = itertools.count(1)


class Worker:
    """Worker that registers in the store and records what it runs.

    Parameters
    ----------
    store : Store
        The store.
    record : callable
        Called with words about what happened.
    service, zone, host : str
        What it serves, and where.
    slots : int
        Requests at once; the same number waits.
    is_killer : callable
        Returns whether a request crashes the worker that begins to run it.
    back_after : float
        Seconds after a crash until the worker is back.
    cold : float
        Seconds for which it is cold after a start.
    """

    def __init__(
        self, store, record, service, zone, host, *, slots=6,
        is_killer=lambda request: False, back_after=2.0, cold=0.0,
        work=0.02,
    ):
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.host = host
        self.slots = slots
        self.is_killer = is_killer
        self.back_after = back_after
        self.cold = cold
        self.work = work
        self.name = ''
        self.running = 0
        self.cold_until = 0.0
        self.state = 'ready'
        self._sequence = 0
        self._born = 0
        self._beats = None
        self._server = None
        self._port = 0

    @property
    def address(self):
        """Host and port."""
        return f'{self.host}:{self._port}'

    async def start(self, *, is_cold=False, name=''):
        """Start a new boot, under a new id unless one is given."""
        self.name = name or f'i-{next(NUMBERS):08x}'
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self.state = 'ready'
        self.running = 0
        if is_cold:
            self.cold_until = time.monotonic() + self.cold
        self._server = await Server(self.host, self._port, self._answer).start()
        self._port = self._server.port
        self._beats = asyncio.ensure_future(self._beat_forever())
        self.record('worker-up', worker=self.name, service=self.service)

    def crash(self, *, keeps_name=False):
        """End without a word; all channels are reset."""
        self.record('worker-crashed', worker=self.name)
        self._server.crash()
        self._beats.cancel()
        asyncio.ensure_future(self._expire(self.name, self._born))
        asyncio.ensure_future(self._return(self.name if keeps_name else ''))

    def leave(self, seconds):
        """Leave without a word: the entry goes, the worker serves on."""
        self._beats.cancel()
        self.store.remove(f'servers/{self.name}')
        self.record('worker-removed', worker=self.name)
        asyncio.get_running_loop().call_later(seconds, self._end)

    def _end(self):
        self.record('worker-ended', worker=self.name, running=self.running)
        self._server.crash()

    async def _expire(self, name, born):
        # Three check-in intervals of silence.
        await asyncio.sleep(3.6)
        if (self.name, self._born) == (name, born) or self.name != name:
            self.store.remove(f'servers/{name}')

    async def _return(self, name):
        await asyncio.sleep(self.back_after)
        await self.start(is_cold=self.cold > 0, name=name)

    def _cold_left(self):
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    def _describe(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold-left-ms': self._cold_left(),
            'born': self._born,
        }

    async def _beat_forever(self):
        written = {}
        while True:
            self._sequence += 1
            while self.store.is_down:
                await asyncio.sleep(0.05)
            entry = self._describe()
            if entry != written:
                # The entry changes when more than the number changes.
                written = entry
                self.store.put(
                    f'servers/{self.name}', {**entry, 'seq': self._sequence}
                )
            await asyncio.sleep(1.2)

    def drain(self, seconds):
        """Report that it leaves, serve on, and end."""
        self._beats.cancel()
        self.state = 'draining'
        self._sequence += 1
        self.store.put(
            f'servers/{self.name}', {**self._describe(), 'seq': self._sequence}
        )
        self.record('worker-draining', worker=self.name)
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self.store.remove, f'servers/{self.name}')
        loop.call_later(seconds, self._end)

    def _load(self):
        return f'{min(self.running, self.slots)},{max(0, self.running - self.slots)},{self.slots}'

    async def _answer(self, request, writer):
        echoed = {'Baobabhinge-Server-Load': self._load()}
        attempt = request.get(ATTEMPT)
        if attempt:
            echoed[ATTEMPT] = attempt
        expected = request.get('Baobabhinge-Expect-Instance')
        if request.path == '/health':
            status = 200 if expected in ('', self.name) else 421
            echoed['Baobabhinge-Instance-Id'] = self.name
            echoed['Baobabhinge-Cold-Ms'] = str(self._cold_left())
            writer.write(compose(status, echoed))
            return True
        if expected and expected != self.name:
            self.record('421', worker=self.name, attempt=attempt)
            echoed['Baobabhinge-Instance-Id'] = self.name
            writer.write(compose(421, echoed))
            return True
        if self.running >= 2 * self.slots:
            self.record('full', worker=self.name, attempt=attempt)
            writer.write(
                compose(503, {**echoed, 'Baobabhinge-Not-Executed': '1'})
            )
            return True
        self.running += 1
        try:
            return await self._run(request, writer, attempt, echoed)
        finally:
            self.running -= 1

    async def _run(self, request, writer, attempt, echoed):
        self.record(
            'run', worker=self.name, service=self.service, attempt=attempt, path=request.target,
            method=request.method, cold=self._cold_left(),
        )
        if self.is_killer(request):
            # The run begins, and ends the whole process.
            await asyncio.sleep(0.02)
            self.crash()
            return False
        return await self.serve(request, writer, attempt, echoed)

    async def serve(self, request, writer, attempt, echoed):
        """Answer a request that runs."""
        await asyncio.sleep(self.work)
        body = f'{self.name} answers {attempt}'.encode()
        sealed = {**echoed, 'Baobabhinge-Response-Seal': f'{self.name}.{len(body)}'}
        writer.write(compose(200, sealed, body))
        await writer.drain()
        return True
