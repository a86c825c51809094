"""What an engine has run."""

import msgspec

RUNNING = 'running'
FINISHED = 'finished'
CANCELLED = 'cancelled'


class EngineRun(msgspec.Struct):
    """One request that the engine has taken up.

    Parameters
    ----------
    request_id : str
        Identifier that the sender gave.
    model, prompt : str
        What was asked for.
    resumed_from : int
        Number of tokens that the sender held already.
    cached_blocks : int
        Blocks of the prompt that were in the prefix cache.
    prompt_blocks : int
        Blocks of the prompt.
    tokens : int
        Tokens generated.
    state : str
        ``running``, ``finished`` or ``cancelled``.
    version : str
        Version of the model that ran; empty before the first order.
    """

    request_id: str
    model: str
    prompt: str
    resumed_from: int = 0
    cached_blocks: int = 0
    prompt_blocks: int = 0
    tokens: int = 0
    state: str = RUNNING
    version: str = ''
