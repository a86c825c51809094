"""Small stand-ins for a review: the platform's store, workers, clients, gateways."""

import asyncio
import atexit
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(os.environ["ROOT"])
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


class Record:
    def __init__(self, path):
        self.file = open(path, 'w')

    def __call__(self, text):
        self.file.write(f'{now():8.3f} {text}\n')
        self.file.flush()


async def read_message(reader):
    """Return (first line, headers, body) of an HTTP message, or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers.append((name.strip().lower(), text.strip()))
    found = dict(headers)
    body = b''
    try:
        if 'chunked' in found.get('transfer-encoding', ''):
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    break
                body += chunk[:-2]
        elif 'content-length' in found:
            body = await reader.readexactly(int(found['content-length']))
        elif lines[0].startswith('HTTP/') and lines[0].split()[1] not in ('204', '304'):
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return lines[0], headers, None
    return lines[0], headers, body


class Store:
    """The platform's store."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.lease = 0
        self.hook = None

    def put(self, key, value, lease=0):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {'key': key, 'value': base64.b64encode(raw).decode(),
                'revision': self.revision, 'created-rev': self.revision,
                'lease': lease}
        if key in self.items:
            item['created-rev'] = self.items[key]['created-rev']
        self.items[key] = item
        self._log(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._log({'key': key, 'revision': self.revision, 'tombstone': True})

    def _log(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(' ')
                if self.hook:
                    await self.hook(method, target)
                status, body = await self._answer(method, target, message[2])
                raw = json.dumps(body).encode()
                writer.write(b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                             b'Content-Length: %d\r\n\r\n' % (status, len(raw)) + raw)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        name = parts.path.removeprefix('/baobabhinge/')
        if name == 'kv-range':
            prefix, after = query['path-prefix'], query.get('after', '')
            rows = [self.items[k] for k in sorted(self.items)
                    if k.startswith(prefix) and k > after]
            return 200, {'items': rows[:500], 'more-pages': len(rows) > 500,
                         'as-of': self.revision}
        if name == 'kv-watch':
            prefix, after = query['path-prefix'], int(query['after'])
            end = time.monotonic() + int(query['wait-ms']) / 1000
            while True:
                events = [e for e in self.history
                          if e['revision'] > after and e['key'].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {'events': events, 'as-of': self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        if name == 'kv-txn':
            change = json.loads(body)
            for write in change['writes']:
                self.put(write['key'], base64.b64decode(write['value']), write['lease'])
            for key in change.get('remove', []):
                self.remove(key)
            return 200, {'revision': self.revision}
        if name == 'kv-lease':
            self.lease += 1
            return 200, {'lease': self.lease, 'ttl-ms': json.loads(body)['ttl-ms']}
        if name.startswith('kv-keep/'):
            return 200, {'ttl-ms': 5000}
        return 404, {}


class Worker:
    """A worker; `answer` is a coroutine function that writes the answer."""

    def __init__(self, name, service, zone, record, answer=None, slots=6):
        self.name, self.service, self.zone = name, service, zone
        self.record, self.slots = record, slots
        self.answer = answer or self.plain
        self.health = self.good_health
        self.runs = []
        self.bytes_in = b''

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0, limit=1 << 20)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]

    def entry(self, **changed):
        return {'service': self.service, 'address': self.address, 'zone': self.zone,
                'version': 'v1', 'slots': self.slots, 'state': 'ready',
                'cold-left-ms': 0, 'seq': 1, **changed}

    async def _serve(self, reader, writer):
        number = id(writer) % 100000
        try:
            while True:
                message = await read_message(reader)
                if message is None or message[2] is None:
                    break
                first, headers, body = message
                found = dict(headers)
                if first.startswith('GET /health'):
                    await self.health(first, found, writer)
                    await writer.drain()
                    continue
                self.record(f'{self.name} conn {number} receives {first!r} attempt '
                            f'{found.get("baobabhinge-attempt-id")} body {len(body)}')
                await self.answer(self, first, headers, body, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def good_health(self, first, found, writer):
        writer.write(b'HTTP/1.1 200 OK\r\nBaobabhinge-Instance-Id: %s\r\n'
                     b'Content-Length: 0\r\n\r\n' % self.name.encode())

    def seal(self, headers):
        attempt = dict(headers).get('baobabhinge-attempt-id', '')
        return (f'Baobabhinge-Attempt-Id: {attempt}\r\n'
                f'Baobabhinge-Response-Seal: seal.{self.name}.{attempt}\r\n').encode()

    def ran(self, headers):
        attempt = dict(headers).get('baobabhinge-attempt-id', '')
        self.runs.append(attempt)
        self.record(f'{self.name} runs {attempt}')

    @staticmethod
    async def plain(self, first, headers, body, writer):
        self.ran(headers)
        text = f'{self.name} answers {dict(headers).get("baobabhinge-attempt-id")}'.encode()
        writer.write(b'HTTP/1.1 200 OK\r\n' + self.seal(headers)
                     + b'Content-Length: %d\r\n\r\n' % len(text) + text)


def config(version=1, routes=None, services=('app',), **more):
    return {'version': version,
            'routes': routes or [
                route('/safe/', 'safe', max_attempts=2),
                route('/once/', 'unsafe'),
                route('/stream/', 'streaming', resumable=True, max_attempts=2)],
            'services': [{'name': s, 'health-path': '/health', 'max-connections': 110,
                          'protocol': 'h1', 'tls': False, 'cold-s': 0.0, 'cold-per-s': 0.0}
                         for s in services],
            'limits': {'max-header-bytes': 16384, 'max-body-bytes': 4194304,
                       'header-timeout-ms': 3000, 'idle-timeout-ms': 15000}, **more}


def route(prefix, kind, service='app', **more):
    found = {'name': 'r' + prefix.strip('/'), 'host': 'a.example', 'path-prefix': prefix,
             'kind': kind, 'timeout-ms': 8000, 'target-latency-ms': 550, 'priority': 2,
             'service': service, 'max-attempts': 1, 'sticky': False, 'resumable': False,
             'gap-aim-ms': 400 if kind == 'streaming' else 0, 'allowed-regions': []}
    found.update({k.replace('_', '-'): v for k, v in more.items()})
    return found


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


def free_range(hosts):
    """Return the first of 16 ports that no datagram socket of the hosts uses."""
    hosts = list(hosts)
    while True:
        first = random.randrange(20000, 30000, 16)
        try:
            for host in hosts:
                for port in range(first, first + 16):
                    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
                        s.bind((host, port))
        except OSError:
            continue
        return first


class Gateway:
    def __init__(self, name, ip, zone, store, ports, folder, seeds=(), zones=None):
        self.name, self.ip, self.zone = name, ip, zone
        self.front, self.ready, self.control, self.directory = (
            f'{ip}:{p}' for p in ports[:4])
        zones = zones or {'west-a': 'west', 'east-a': 'east'}
        self.path = Path(folder) / f'{name}.toml'
        self.log = Path(folder) / f'{name}.log'
        zone_lines = '\n'.join(f'{z} = "{r}"' for z, r in zones.items())
        seeds = json.dumps(list(seeds))
        self.path.write_text(f'''node-name = "{name}"
role = "gateway"
machine-class = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "{zones[zone]}"
internal-port-range = [{ports[4]},{ports[4] + 15}]
seeds = {seeds}
bootstrap = true
in-failure-budget = false
discovery = "platform"
entry = "directory"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","places","platform"]
[zones]
{zone_lines}
[listen]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.control}"
directory = "{self.directory}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 1
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 6000
ack-ms = 8000
catch-up-s = 4
drain-ms = 4000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 4000
rollback-slack-ms = 250
max-skew-ms = 10000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 58
cold-over = 1.5
cold-slack = 3
evacuate-ms = 5000
recover-s = 12
pass-ms = 800
reuse-window-s = 10
ttl_max_s = 5
[platform]
address = "{store.address}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
''')
        self.process = None
        atexit.register(self.stop)

    def start(self):
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['BAOBABHINGE_CONFIG'] = str(self.path)
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, 'platform/start.py'], cwd=ROOT, env=env,
                stdout=log, stderr=log)

    def stop(self, sign=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(sign)

    async def wait_ready(self, seconds=20):
        for _ in range(int(seconds * 20)):
            if await get_status(self.ready, '/baobabhinge/ready') == 200:
                return True
            await asyncio.sleep(0.05)
        return False


async def get_status(address, path):
    host, port = address.split(':')
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f'GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'.encode())
        message = await asyncio.wait_for(read_message(reader), 2)
        writer.close()
        return int(message[0].split()[1]) if message else None
    except (OSError, TimeoutError):
        return None


class Client:
    """One kept channel of a client."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.writer = None

    async def send_raw(self, raw, limit=10):
        if self.writer is None:
            host, port = self.address.split(':')
            self.reader, self.writer = await asyncio.open_connection(
                host, int(port), limit=1 << 22)
        self.writer.write(raw)
        try:
            message = await asyncio.wait_for(read_message(self.reader), limit)
        except TimeoutError:
            message = 'timeout'
        if message in (None, 'timeout') or message[2] is None:
            self.close()
        return message

    async def call(self, method, target, attempt, body=b'', headers=(), limit=10):
        lines = [f'{method} {target} HTTP/1.1', 'Host: a.example',
                 f'Baobabhinge-Attempt-Id: {attempt}', 'Baobabhinge-Deadline-Ms: 8000',
                 *(f'{n}: {t}' for n, t in headers)]
        if method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        self.record(f'client sends {method} {target} attempt {attempt}')
        raw = '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
        message = await self.send_raw(raw, limit)
        if message in (None, 'timeout'):
            self.record(f'client {attempt}: {message}')
            return message
        found = dict(message[1])
        self.record(f'client {attempt}: {message[0]} seal '
                    f'{found.get("baobabhinge-response-seal")} body {message[2]!r:.120}')
        if found.get('connection') == 'close':
            self.close()
        return message

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None


def status(message):
    if message in (None, 'timeout'):
        return message
    return int(message[0].split()[1])


def run_case(main):
    """Exit with what the coroutine returns; with 2 if the case could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
