"""Exchange of the origins of streams with the gateways that keep them."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta

import msgspec

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

MILLISECOND = timedelta(milliseconds=1)
# Twice the round trip between regions, which is 160 ms.
ANSWER_TIMEOUT = timedelta(milliseconds=320)

Address = tuple[str, int]
MessageSender = Callable[[OriginRecord | OriginQuery, Sequence[Address]], None]


SoleSoftwareFinder = Callable[[str, timedelta], str | None]


class StreamQuestion(msgspec.Struct, frozen=True):
    """What is known of a stream whose origin is wanted.

    Parameters
    ----------
    key : str
        Key of the attempt that began it.
    service : str
        The only service that may have begun it; empty if there are several.
    within : timedelta
        Longest time since it began.
    regions : tuple of str
        Regions that may learn of it.
    """

    key: str
    service: str
    within: timedelta
    regions: tuple[str, ...]


class _Pending:
    """Answers that are missing to one question."""

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
    find_sole : callable
        Returns the only version of a service within some time, if there is one.
    """

    __slots__ = ('_find_sole', '_gateways', '_questions', '_send', 'table')

    def __init__(
        self,
        table: OriginTable,
        gateways: GatewayTable,
        send: MessageSender,
        find_sole: SoleSoftwareFinder,
    ) -> None:
        """Start without questions."""
        self._find_sole = find_sole
        self._gateways = gateways
        self._send = send
        self._questions: dict[str, _Pending] = {}
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

    async def find(self, question: StreamQuestion) -> StreamOrigin | None:
        """Return an origin, asking other gateways if it is not known here."""
        if self._find(question) is None:
            asked = list_asked(question.key, question.regions, self._gateways)
            await self._ask(question, {contact.address for contact in asked})
        return self._find(question)

    def receive(
        self, message: OriginRecord | OriginQuery, source: Address
    ) -> None:
        """Keep an origin that another gateway tells, or answer its question."""
        if isinstance(message, OriginQuery):
            within = message.within_ms * MILLISECOND
            found = self._find(
                StreamQuestion(message.key, message.service, within, ())
            )
            answer = OriginRecord(message.key, found, is_answer=True)
            self._send(answer, [source])
            return
        if message.origin is not None:
            self.table.record(message.key, message.origin)
        pending = self._questions.get(message.key)
        if pending is not None and message.is_answer:
            pending.missing.discard(source)
            if message.origin is not None or not pending.missing:
                pending.answered.set()

    def _find(self, question: StreamQuestion) -> StreamOrigin | None:
        kept = self.table.find(question.key)
        if kept is not None or not question.service:
            return kept
        software = self._find_sole(question.service, question.within)
        return StreamOrigin(question.service, software) if software else None

    async def _ask(self, question: StreamQuestion, asked: set[Address]) -> None:
        if not asked:
            return
        key = question.key
        # Several requests may take up one stream at the same time.
        pending = self._questions.setdefault(key, _Pending(asked))
        within_ms = question.within // MILLISECOND
        query = OriginQuery(key, question.service, within_ms)
        self._send(query, tuple(asked))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT.total_seconds()):
                await pending.answered.wait()
        except TimeoutError:
            return
        finally:
            self._questions.pop(key, None)
