"""Complete answers that are kept until it is known which one counts."""

from baobabhinge_gateway.forwarding.call import Headers
from baobabhinge_gateway.forwarding.delivery import FailedAnswer
from baobabhinge_gateway.forwarding.failures import UnknownOutcomeError


class AnswerBuffer:
    """Responder that keeps a complete answer.

    The answer of one server is passed on whole, so that status, headers and
    body never come from two.

    Attributes
    ----------
    answer : FailedAnswer or None
        The answer, once it is complete.
    has_started : bool
        Always false: nothing is passed on.
    """

    __slots__ = ('answer', 'has_started')

    def __init__(self) -> None:
        """Start without an answer."""
        self.answer: FailedAnswer | None = None
        self.has_started = False

    async def send_complete(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Keep a complete answer."""
        self.answer = FailedAnswer(status, headers, body)

    async def start(self, status: int, headers: Headers) -> None:
        """Refuse a stream; calls with copies are not streamed.

        Raises
        ------
        UnknownOutcomeError
            Always.
        """
        raise UnknownOutcomeError('a stream can not be kept')

    async def write(self, chunk: bytes) -> None:
        """Ignore a chunk, as no stream is started."""

    async def finish(self) -> None:
        """Ignore the end, as no stream is started."""
