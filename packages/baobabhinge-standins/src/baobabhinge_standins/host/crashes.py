"""Requests under which a stand-in of a backend server ends."""

import asyncio
from collections.abc import Callable


class ServerCrash:
    """End of a server under one of its requests.

    Attributes
    ----------
    target : str
        Part of the targets of requests under which it ends; empty for none.
    part : str
        Name of a part of prompts; the server ends when it begins to answer a
        request with it. Empty for none.
    answers_left : int
        How many requests with `part` it answers before it ends under one.
    delay : float
        Seconds from the begin of a run with `target` to the end of the server,
        also if the caller leaves meanwhile.
    has_happened : bool
        Whether it has ended.
    end : callable or None
        Closes its listener and its connections; set once it listens.
    """

    __slots__ = (
        'answers_left',
        'delay',
        'end',
        'has_happened',
        'part',
        'target',
    )

    def __init__(self) -> None:
        """Stand all requests."""
        self.target = ''
        self.part = ''
        self.answers_left = 0
        self.delay: float = 0
        self.has_happened = False
        self.end: Callable[[], None] | None = None

    async def check(self, target: str) -> None:
        """End the server if it does not stand the target of a request.

        Raises
        ------
        ConnectionResetError
            If it has ended.
        """
        if self.target and self.target in target:
            if self.delay:
                loop = asyncio.get_running_loop()
                loop.call_later(self.delay, self._close)
                await asyncio.sleep(2 * self.delay)
            self._end()

    def check_prompt(self, prompt: str) -> None:
        """End the server if it does not stand a part of a prompt.

        Parameters
        ----------
        prompt : str
            Parts of the prompt, with their lengths, separated by commas.

        Raises
        ------
        ConnectionResetError
            If it has ended.
        """
        names = [part.partition(':')[0] for part in prompt.split(',')]
        if self.part and self.part in names:
            if not self.answers_left:
                self._end()
            self.answers_left -= 1

    def _end(self) -> None:
        self._close()
        raise ConnectionResetError

    def _close(self) -> None:
        self.has_happened = True
        if self.end is not None:
            self.end()
