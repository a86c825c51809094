"""Small HTTP/1.1 server and client for the stand-ins, on asyncio streams."""

import asyncio
import contextlib
import socket
import struct

END = b'\r\n'
MAX_LINE = 1 << 16


class Request:
    """One request of a peer."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition('?')
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        """Return a header by its name in any case."""
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Return the first line and the headers; ``None`` at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while True:
        raw = await reader.readline()
        if not raw.strip():
            break
        name, _, text = raw.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()
    return line.decode('latin-1').strip(), headers


async def read_chunks(reader):
    """Yield the chunks of a body in chunks; raise if it is cut."""
    while True:
        line = await reader.readline()
        if not line:
            raise asyncio.IncompleteReadError(b'', None)
        size = int(line.split(b';')[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return
        yield chunk


async def read_body(reader, headers):
    """Return the complete body."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        return b''.join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_request(reader):
    """Return the next request of a connection; ``None`` at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(' ', 2)
    return Request(method, target, head[1], await read_body(reader, head[1]))


def compose(status, headers, body=b''):
    """Return the bytes of a whole answer."""
    lines = [f'HTTP/1.1 {status} X'.encode()]
    lines += [f'{name}: {text}'.encode() for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}'.encode())
    return END.join(lines) + END + END + body


def reset(writer):
    """Reset a connection, as the end of a process with unread bytes does."""
    opened = writer.get_extra_info('socket')
    if opened is not None:
        with contextlib.suppress(OSError):
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
    writer.transport.abort()


class Server:
    """Listener whose connections a handler serves, request by request."""

    def __init__(self, host, port, answer):
        self.host = host
        self.port = port
        self._answer = answer
        self._server = None
        self.open = {}

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True,
            limit=MAX_LINE,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.open[writer] = asyncio.current_task()
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ValueError
        ):
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self._answer_one(request, reader, writer):
                    break
        self.open.pop(writer, None)
        writer.close()

    async def _answer_one(self, request, reader, writer):
        """Answer, but end the work once the peer closes the connection."""
        work = asyncio.ensure_future(self._answer(request, writer))
        closed = asyncio.ensure_future(self._wait_for_close(reader))
        try:
            await asyncio.wait(
                (work, closed), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                work.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                return bool(await work)
            return False
        finally:
            closed.cancel()
            work.cancel()

    async def _wait_for_close(self, reader):
        while not reader.at_eof():
            if reader.exception() is not None:
                return
            await asyncio.sleep(0.02)

    def crash(self):
        """End as a killed process does: all connections and the listener."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer, task in list(self.open.items()):
            reset(writer)
            task.cancel()
        self.open.clear()


class Answer:
    """Answer that a client got."""

    def __init__(self, status, headers, body, error=''):
        self.status = status
        self.headers = headers
        self.body = body
        self.error = error


async def call(address, method, target, headers, body=b'', limit=5.0):
    """Send one request on a new connection and return its answer.

    The status is 0 if there is none; ``error`` says why.
    """
    writer = None
    try:
        async with asyncio.timeout(limit):
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f'{method} {target} HTTP/1.1'.encode()]
            lines += [f'{key}: {text}'.encode() for key, text in headers]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}'.encode())
            writer.write(END.join(lines) + END + END + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(0, {}, b'', 'closed without an answer')
            status = int(head[0].split(' ')[1])
            try:
                whole = await read_body(reader, head[1])
            except (asyncio.IncompleteReadError, ValueError, OSError):
                return Answer(status, head[1], b'', 'cut in the answer')
            return Answer(status, head[1], whole)
    except TimeoutError:
        return Answer(0, {}, b'', 'no answer in time')
    except OSError as lost:
        return Answer(0, {}, b'', f'no connection: {lost}')
    finally:
        if writer is not None:
            writer.close()
