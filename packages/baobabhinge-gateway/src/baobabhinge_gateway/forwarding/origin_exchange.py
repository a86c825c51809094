"""Exchange of the origins of streams with the gateways that keep them."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta

from baobabhinge_gateway.forwarding.origin_holders import (
    list_asked,
    list_keepers,
)
from baobabhinge_gateway.forwarding.stream_origins import (
    OriginTable,
    StreamOrigin,
)
from baobabhinge_gateway.neighbours import (
    GatewayTable,
    OriginQuery,
    OriginRecord,
)

# Twice the round trip between regions, which is 160 ms.
ANSWER_TIMEOUT = timedelta(milliseconds=320)

Address = tuple[str, int]
MessageSender = Callable[[OriginRecord | OriginQuery, Sequence[Address]], None]


class _Question:
    """Question that waits for the answers of some gateways."""

    __slots__ = ('answered', 'missing')

    def __init__(self, missing: set[Address]) -> None:
        """Wait for these gateways."""
        self.missing = missing
        self.answered = asyncio.Event()


class OriginExchange:
    """Tell other gateways the origins of streams, and ask them for some.

    Parameters
    ----------
    table : OriginTable
        Origins that this gateway keeps.
    gateways : GatewayTable
        Live gateways.
    send : callable
        Sends a message to the addresses of gateways.
    """

    __slots__ = ('_gateways', '_questions', '_send', 'table')

    def __init__(
        self, table: OriginTable, gateways: GatewayTable, send: MessageSender
    ) -> None:
        """Start without questions."""
        self._gateways = gateways
        self._send = send
        self._questions: dict[str, _Question] = {}
        self.table = table

    def publish(
        self, key: str, origin: StreamOrigin, regions: Iterable[str]
    ) -> None:
        """Keep an origin, and tell it to the other gateways that keep it.

        Parameters
        ----------
        key : str
            Key of the attempt.
        origin : StreamOrigin
            Where its stream began.
        regions : iterable of str
            Regions that may learn of it.
        """
        self.table.record(key, origin)
        keepers = list_keepers(key, tuple(regions), self._gateways)
        self._send(
            OriginRecord(key, origin), [keeper.address for keeper in keepers]
        )

    async def find(
        self, key: str, regions: Iterable[str]
    ) -> StreamOrigin | None:
        """Return an origin, asking other gateways if it is not kept here.

        Parameters
        ----------
        key : str
            Key of the attempt.
        regions : iterable of str
            Regions that may learn of it.
        """
        known = self.table.find(key)
        if known is None:
            asked = list_asked(key, tuple(regions), self._gateways)
            await self._ask(key, {contact.address for contact in asked})
        return self.table.find(key)

    def receive(
        self, message: OriginRecord | OriginQuery, source: Address
    ) -> None:
        """Keep an origin that another gateway tells, or answer its question."""
        if isinstance(message, OriginQuery):
            found = self.table.find(message.key)
            answer = OriginRecord(message.key, found, is_answer=True)
            self._send(answer, [source])
            return
        question = self._questions.get(message.key)
        if message.origin is not None:
            self.table.record(message.key, message.origin)
        if question is not None and message.is_answer:
            question.missing.discard(source)
            if message.origin is not None or not question.missing:
                question.answered.set()

    async def _ask(self, key: str, asked: set[Address]) -> None:
        if not asked:
            return
        # Several requests may take up one stream at the same time.
        question = self._questions.setdefault(key, _Question(asked))
        self._send(OriginQuery(key), tuple(asked))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT.total_seconds()):
                await question.answered.wait()
        except TimeoutError:
            return
        finally:
            self._questions.pop(key, None)
