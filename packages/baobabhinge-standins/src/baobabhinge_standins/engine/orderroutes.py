"""HTTP paths of orders and of the loaded models."""

from http import HTTPStatus

import msgspec
from aiohttp import web

from baobabhinge_standins.engine.loading import Loader, WeightReader
from baobabhinge_standins.engine.models import (
    EngineOrder,
    ModelShelf,
    StaleOrderError,
)

JSON = 'application/json'


class OrderRoutes:
    """Handlers of orders.

    Parameters
    ----------
    shelf : ModelShelf
        Models and the present order.
    loader : Loader
        What carries the order out.
    """

    __slots__ = ('_loader', '_shelf')

    def __init__(self, shelf: ModelShelf, loader: Loader) -> None:
        """Keep the parts."""
        self._shelf = shelf
        self._loader = loader

    def add_to(self, app: web.Application) -> None:
        """Add the paths."""
        app.router.add_put('/v1/orders', self._take)
        app.router.add_get('/v1/models', self._list_models)
        app.router.add_get('/-/orders', self._list_orders)

    async def _take(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=EngineOrder)
        try:
            self._shelf.take(order)
        except StaleOrderError as stale:
            return web.json_response(
                {'fencing': stale.newest},
                status=HTTPStatus.CONFLICT,
            )
        self._loader.wake()
        return web.json_response(
            {'fencing': order.fencing},
            status=HTTPStatus.ACCEPTED,
        )

    async def _list_models(self, request: web.Request) -> web.Response:
        body = msgspec.json.encode({'models': self._shelf.loaded or []})
        return web.Response(body=body, content_type=JSON)

    async def _list_orders(self, request: web.Request) -> web.Response:
        body = msgspec.json.encode(self._shelf.taken)
        return web.Response(body=body, content_type=JSON)


def add_orders(app: web.Application, shelf: ModelShelf, weights: str) -> None:
    """Add the paths of orders, and what carries them out.

    Parameters
    ----------
    app : web.Application
        Application of the engine.
    shelf : ModelShelf
        Models and the present order.
    weights : str
        Base URL of the weight store; empty if weights need no reading.
    """
    loader = Loader(shelf, WeightReader(weights))
    app.cleanup_ctx.append(loader.keep_loading)
    OrderRoutes(shelf, loader).add_to(app)
