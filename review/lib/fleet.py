"""Gateways as processes of their own, and what a case needs around them."""

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http_small import call
from store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    'seed-lag-s': 3, 'reuse-after-s': 2, 'contact-ms': 6000, 'ack-ms': 8000,
    'catch-up-s': 4, 'drain-ms': 4000, 'grace-s': 8, 'loss-slack-ms': 200,
    'config-apply-ms': 4000, 'rollback-slack-ms': 250, 'max-skew-ms': 10000,
    'retry-budget-ratio': 0.2, 'budget-window-s': 10, 'budget-slack': 58,
    'cold-over': 1.5, 'cold-slack': 3, 'evacuate-ms': 5000, 'recover-s': 12,
    'pass-ms': 800, 'reuse-window-s': 10, 'ttl_max_s': 5,
}
REGIONS = {'bayern-a': 'bayern', 'nordsee-a': 'nordsee', 'adria-a': 'adria'}


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.rows = []
        self._start = time.monotonic()
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def __call__(self, kind, **words):
        row = {'t': round(self.now(), 3), 'kind': kind, **words}
        self.rows.append(row)
        told = ' '.join(f'{key}={text}' for key, text in words.items())
        self._file.write(f'{row["t"]:8.3f} {kind} {told}\n')
        self._file.flush()

    def find(self, kind, **words):
        """Return the rows of a kind with these words."""
        return [
            row for row in self.rows
            if row['kind'] == kind
            and all(row.get(key) == text for key, text in words.items())
        ]


def choose_ports(hosts, count):
    """Return the first of ``count`` ports that are free on all hosts."""
    for _ in range(50):
        first = random.randrange(20000, 29000, count)
        if all(_is_free(host, first + n) for host in hosts for n in range(count)):
            return first
    raise NotRunError('no free ports')


def _is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as opened:
            try:
                opened.bind((host, port))
            except OSError:
                return False
    return True


class Gateway:
    """One process of the deploy file."""

    def __init__(self, fleet, name, zone, host, store):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.host = host
        self.store = store
        self.process = None
        self.started = 0.0
        self._log = open(fleet.folder / f'{name}.log', 'w')

    def _port(self, offset):
        return f'{self.host}:{self.fleet.port + offset}'

    @property
    def front(self):
        """Address for clients."""
        return self._port(0)

    @property
    def ready(self):
        """Address of the platform's checks."""
        return self._port(1)

    def write_settings(self):
        """Write the settings file, as DEPLOY.md shows it."""
        port = self.fleet.port
        seeds = [f'{one.host}:{port + 2}' for one in self.fleet.gateways[:3]]
        lines = [
            f'node-name = "{self.name}"', 'role = "gateway"',
            'machine-class = "front"',
            'serves = ["front","control","directory"]',
            f'ip = "{self.host}"', f'zone = "{self.zone}"',
            f'region = "{REGIONS[self.zone]}"',
            f'internal-port-range = [{port + 4},{port + 19}]',
            f'seeds = {json.dumps(seeds)}', 'bootstrap = true',
            'in-failure-budget = false', 'discovery = "platform"',
            'entry = "directory"', 'heartbeat-ms = 1200',
            'contracts = ["base","drain","config","cost","retry","recover",'
            '"engine","stream","places","platform"]',
            '[zones]',
            *(f'{zone} = "{region}"' for zone, region in REGIONS.items()),
            '[listen]', f'front = "{self._port(0)}"',
            f'ready = "{self._port(1)}"', f'control = "{self._port(2)}"',
            f'directory = "{self._port(3)}"',
            '[limits]', 'cpu-share = 0.537', 'cores = 2', 'memory-mb = 300',
            'max-fds = 4100', 'link-mbps = 1000.0', 'disk-mb = 0',
            '[fault-tolerance]', 'machines = 1', 'zones = 1', 'regions = 1',
            '[bounds]',
            *(f'{name} = {bound}' for name, bound in BOUNDS.items()),
            '[platform]', f'address = "{self.store}"', 'form = "kv"',
            'writes-per-s = 400', 'reads-per-s = 2000', 'history-s = 20',
            'value-bytes = 1048576', 'ttl-min-ms = 1000',
        ]
        path = self.fleet.folder / f'{self.name}.toml'
        path.write_text('\n'.join(lines) + '\n')
        return path

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['gateway']['run'].split()
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        self.process = subprocess.Popen(
            words, cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=self._log, stderr=self._log,
            env={
                **kept,
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'BAOBABHINGE_CONFIG': str(self.write_settings()),
            },
        )
        self.started = self.fleet.record.now()
        self.fleet.record('gateway-started', name=self.name, pid=self.process.pid)

    def signal(self, number):
        """Send a signal to the process."""
        self.fleet.record('signal', name=self.name, signal=number.name)
        self.process.send_signal(number)

    def kill(self):
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        """Return whether it says that it is ready."""
        answer = await call(
            self.ready, 'GET', '/baobabhinge/ready', [('Host', 'a')], limit=1
        )
        return answer.status == 200


class Fleet:
    """Store, workers and gateways of one case."""

    def __init__(self, case):
        self.case = Path(case)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.record = Record(self.case)
        self.store = Store()
        self.gateways = []
        self.workers = []
        self.port = 0
        self._attempts = itertools.count(1)

    async def start(self, zones, config, workers):
        """Start the store, the workers and a gateway for each zone named."""
        hosts = [f'127.0.{60 + n}.1' for n in range(len(zones))]
        self.port = choose_ports(hosts, 20)
        counts = {}
        stores = {}
        for zone, host in zip(zones, hosts, strict=True):
            counts[zone] = counts.get(zone, 0) + 1
            name = f'front-{zone}-{counts[zone]}'
            stores[name] = '127.0.50.1'
            self.gateways.append(Gateway(self, name, zone, host, ''))
        await self.store.start(stores)
        self.store.put('op/config', config)
        for worker in workers:
            self.workers.append(worker)
            await worker.start()
        for gateway in self.gateways:
            gateway.store = stores[gateway.name]
            gateway.start()
        await self.wait_until_ready()

    async def wait_until_ready(self, limit=20.0):
        """Return once all gateways are ready."""
        until = time.monotonic() + limit
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until:
                    raise NotRunError(f'{gateway.name} is not ready')
                await asyncio.sleep(0.1)
        self.record('all-ready')

    async def send(
        self, gateway, method, path, *, headers=(), body=b'', limit=8.0,
        name='request', host='ficu95.example',
    ):
        """Send one client attempt to a gateway and return its answer."""
        attempt = f'{name}-{next(self._attempts)}'
        self.record('sent', attempt=attempt, gateway=gateway.name, path=path)
        answer = await call(
            gateway.front, method, path,
            [
                ('Host', host), ('Baobabhinge-Attempt-Id', attempt),
                ('Baobabhinge-Deadline-Ms', str(int(limit * 1000))), *headers,
            ],
            body, limit,
        )
        self.record(
            'answered', attempt=attempt, status=answer.status,
            error=answer.error or '-',
            body=answer.body[:120].decode('latin-1').replace('\n', ' '),
        )
        return attempt, answer

    def stop(self):
        """End all processes."""
        for gateway in self.gateways:
            gateway.kill()

    async def close(self):
        """End the stand-ins."""
        self.stop()
        for task in asyncio.all_tasks():
            if task is not asyncio.current_task():
                task.cancel()
        await asyncio.sleep(0.1)


def config(version, routes, services):
    """Return a configuration as PROTOCOL.md shows it."""
    return {
        'version': version, 'routes': routes, 'services': services,
        'limits': {
            'max-header-bytes': 16384, 'max-body-bytes': 4194304,
            'header-timeout-ms': 3000, 'idle-timeout-ms': 15000,
        },
    }


def route(name, prefix, kind, service, **changed):
    """Return one route."""
    return {
        'name': name, 'host': 'ficu95.example', 'path-prefix': prefix,
        'kind': kind, 'timeout-ms': 8000, 'target-latency-ms': 550,
        'priority': 2, 'service': service, 'max-attempts': 2, 'sticky': False,
        'resumable': False, 'allowed-regions': [], **changed,
    }


def service(name, **changed):
    """Return one service."""
    return {
        'name': name, 'health-path': '/health', 'max-connections': 370,
        'protocol': 'h1', 'tls': False, 'cold-s': 0.0, 'cold-per-s': 0.0,
        **changed,
    }


def run(main, case, limit=115):
    """Run a case and exit with its code."""
    fleet = Fleet(case)

    async def bounded():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(limit):
            try:
                return await main(fleet)
            finally:
                await fleet.close()

    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as failed:
        # Also a fault of the case itself is no broken rule.
        fleet.record('not-run', reason=repr(failed))
        code = NOT_RUN
    finally:
        fleet.stop()
    if not os.environ.get('KEEP_LOGS'):
        shutil.rmtree(fleet.folder, ignore_errors=True)
    fleet.record('exit', code=code)
    # The sockets of the stand-ins end with the process.
    os._exit(code)
