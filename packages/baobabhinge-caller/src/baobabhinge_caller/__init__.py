"""Async library for programs that call baobabhinge.

Examples
--------
.. code-block:: python

    async with open_client(['10.0.0.5:7080', '10.0.0.6:7080']) as client:
        asked = Completion('appraiser-llm', 'Appraise: Lantern No. 7')
        async for text in client.stream(asked):
            print(text, end='')
"""

from baobabhinge_caller.client import Client as Client
from baobabhinge_caller.client_factory import open_client as open_client
from baobabhinge_caller.errors import CallFailedError as CallFailedError
from baobabhinge_caller.errors import NotRunError as NotRunError
from baobabhinge_caller.errors import (
    OutcomeUnknownError as OutcomeUnknownError,
)
from baobabhinge_caller.errors import RefusedError as RefusedError
from baobabhinge_caller.errors import WrongAnswerError as WrongAnswerError
from baobabhinge_caller.exchange import Answer as Answer
from baobabhinge_caller.requests import Completion as Completion
from baobabhinge_caller.requests import Message as Message
from baobabhinge_caller.requests import ServiceCall as ServiceCall
from baobabhinge_caller.requests import Terms as Terms
from baobabhinge_caller.tokens import Token as Token
