"""Requests and events of the completions protocol, as the engine sees them.

References
----------
OpenAI completions protocol: ``/v1/completions`` and ``/v1/chat/completions``.
"""

import enum
import hashlib

import msgspec

DEFAULT_TOKENS = 16
TOKEN_CHARS = 4


class Message(msgspec.Struct):
    """One message of a chat."""

    role: str
    text: str = msgspec.field(name='content')


class EngineRequest(msgspec.Struct):
    """A request to an engine.

    Parameters
    ----------
    model : str
        Model asked for.
    prompt : str
        Prompt of a plain completion.
    messages : list of Message
        Messages of a chat completion.
    stream : bool
        Whether the answer is streamed.
    max_tokens : int
        Tokens to generate.
    priority : int
        Smaller runs earlier.
    resume_from : int
        Number of tokens that the caller already holds.
    """

    model: str
    prompt: str = ''
    messages: list[Message] = []
    stream: bool = False
    max_tokens: int = DEFAULT_TOKENS
    priority: int = 0
    resume_from: int = 0

    def join_prompt(self) -> str:
        """Return the whole prompt as one text."""
        parts = [message.text for message in self.messages]
        return '\n'.join([self.prompt, *parts])

    def generate_token(self, index: int) -> str:
        """Return the token at ``index``; it depends on the prompt alone."""
        seed = f'{self.join_prompt()}\n{index}'
        word = hashlib.sha256(seed.encode()).hexdigest()[:TOKEN_CHARS]
        return f'{word} '

    def generate_all(self) -> str:
        """Return the whole text, from the first token on."""
        return ''.join(map(self.generate_token, range(self.max_tokens)))


class CacheEventKind(enum.StrEnum):
    """What became of a cached block."""

    stored = 'stored'
    evicted = 'evicted'


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of the prefix cache.

    Parameters
    ----------
    number : int
        Number of the event; missing numbers were not published.
    kind : CacheEventKind
        What happened.
    block : str
        Digest of the block and of all that stands before it.
    """

    number: int
    kind: CacheEventKind
    block: str
