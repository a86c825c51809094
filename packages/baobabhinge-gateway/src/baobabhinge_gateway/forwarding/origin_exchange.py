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
SeveralFinder = Callable[[str, timedelta], bool]


def know_none(service: str, within: timedelta) -> bool:
    """Return that no versions of a service are known."""
    return False


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

    __slots__ = ('answered', 'has_several', 'is_heard', 'missing')

    def __init__(self, missing: set[Address]) -> None:
        """Wait for these gateways."""
        self.missing = missing
        self.answered = asyncio.Event()
        self.is_heard = not missing
        self.has_several = False

    @property
    def agrees(self) -> bool:
        """Whether others, if there are any, know of no other version."""
        return self.is_heard and not self.has_several

    def record(self, answer: OriginRecord, source: Address) -> None:
        """Record one answer."""
        self.is_heard = True
        self.has_several |= answer.has_several
        self.missing.discard(source)
        if answer.origin is not None or not self.missing:
            self.answered.set()


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
    has_several : callable, optional
        Returns whether several versions of a service were known then.
    """

    __slots__ = (
        '_find_sole',
        '_gateways',
        '_has_several',
        '_questions',
        '_send',
        'table',
    )

    def __init__(
        self,
        table: OriginTable,
        gateways: GatewayTable,
        send: MessageSender,
        find_sole: SoleSoftwareFinder,
        has_several: SeveralFinder = know_none,
    ) -> None:
        """Start without questions."""
        self._find_sole = find_sole
        self._has_several = has_several
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
        """Return an origin, asking other gateways if it is not kept here.

        The only version that this gateway knows is taken for the origin if
        another gateway answers and knows no others, or there is none: this one
        may not have heard of the latest servers.
        """
        kept = self.table.find(question.key)
        if kept is not None:
            return kept
        asked = list_asked(question.key, question.regions, self._gateways)
        pending = await self._ask(
            question, {contact.address for contact in asked}
        )
        if pending.agrees:
            return self._find(question)
        return self.table.find(question.key)

    def receive(
        self, message: OriginRecord | OriginQuery, source: Address
    ) -> None:
        """Keep an origin that another gateway tells, or answer its question."""
        if isinstance(message, OriginQuery):
            within = message.within_ms * MILLISECOND
            found = self._find(
                StreamQuestion(message.key, message.service, within, ())
            )
            answer = OriginRecord(
                message.key,
                found,
                is_answer=True,
                has_several=self._has_several(message.service, within),
            )
            self._send(answer, [source])
            return
        if message.origin is not None:
            self.table.record(message.key, message.origin)
        pending = self._questions.get(message.key)
        if pending is not None and message.is_answer:
            pending.record(message, source)

    def _find(self, question: StreamQuestion) -> StreamOrigin | None:
        kept = self.table.find(question.key)
        if kept is not None or not question.service:
            return kept
        software = self._find_sole(question.service, question.within)
        return StreamOrigin(question.service, software) if software else None

    async def _ask(
        self, question: StreamQuestion, asked: set[Address]
    ) -> _Pending:
        if not asked:
            return _Pending(asked)
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
            return pending
        finally:
            self._questions.pop(key, None)
        return pending
