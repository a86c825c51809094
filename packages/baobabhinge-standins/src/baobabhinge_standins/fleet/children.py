"""One child process and the signals to it."""

import asyncio
import signal
from asyncio.subprocess import Process
from datetime import timedelta

import msgspec

STOP_PATIENCE = timedelta(seconds=10)


class CommandLine(msgspec.Struct, frozen=True):
    """A module and the options it is started with."""

    module: str
    options: tuple[str, ...]


class Child:
    """One child process.

    Attributes
    ----------
    line : CommandLine
        How it was started.
    process : Process
        The process itself.
    """

    __slots__ = ('line', 'process')

    def __init__(self, process: Process, line: CommandLine) -> None:
        """Keep the process and how it was started."""
        self.process = process
        self.line = line

    async def kill(self) -> None:
        """End the process at once and wait for its end."""
        self._send(signal.SIGKILL)
        await self.process.wait()

    def freeze(self) -> None:
        """Stop the process from running, as a paused vm does."""
        self._send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let the frozen process run on."""
        self._send(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a graceful stop; do not wait for it."""
        self._send(signal.SIGTERM)

    async def end(self) -> None:
        """Ask for a graceful stop, and kill the process if it goes on."""
        self.thaw()
        self.terminate()
        patience = STOP_PATIENCE.total_seconds()
        try:
            await asyncio.wait_for(self.process.wait(), patience)
        except TimeoutError:
            await self.kill()

    def _send(self, number: signal.Signals) -> None:
        if self.process.returncode is None:
            self.process.send_signal(number)
