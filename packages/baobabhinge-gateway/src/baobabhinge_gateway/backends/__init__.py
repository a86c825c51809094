"""Exchanges with backend servers."""

from baobabhinge_gateway.backends.answers import Answer as Answer
from baobabhinge_gateway.backends.exchange import Outbound as Outbound
from baobabhinge_gateway.backends.exchange import (
    open_exchange as open_exchange,
)
