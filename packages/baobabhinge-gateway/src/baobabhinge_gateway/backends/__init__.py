"""HTTP exchanges with backend servers and other gateways."""

from baobabhinge_gateway.backends.answers import (
    ExchangeAnswer as ExchangeAnswer,
)
from baobabhinge_gateway.backends.exchange import (
    ExchangeRequest as ExchangeRequest,
)
from baobabhinge_gateway.backends.exchange import (
    open_exchange as open_exchange,
)
