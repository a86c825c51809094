"""Models that an engine has loaded, and the orders to load others."""

import enum

import msgspec

MODEL_SEPARATOR = '@'
ADAPTER_SEPARATOR = ':'


class Fencing(enum.StrEnum):
    """What an engine does with an older fencing number."""

    refuse = 'refuse'
    ignore = 'ignore'


class LoadedModel(msgspec.Struct, frozen=True):
    """A version of a model, with its adapters."""

    model: str
    version: str = ''
    adapters: list[str] = []

    def serves(self, name: str) -> bool:
        """Tell whether this serves ``model[:adapter][@version]``."""
        rest, _, version = name.partition(MODEL_SEPARATOR)
        model, _, adapter = rest.partition(ADAPTER_SEPARATOR)
        return (
            model == self.model
            and version in {'', self.version}
            and (not adapter or adapter in self.adapters)
        )

    def list_names(self) -> list[str]:
        """Return the names with the version, one for each adapter too."""
        adapted = [
            f'{self.model}{ADAPTER_SEPARATOR}{adapter}'
            for adapter in self.adapters
        ]
        return [
            f'{name}{MODEL_SEPARATOR}{self.version}'
            for name in (self.model, *adapted)
        ]


class EngineOrder(msgspec.Struct, frozen=True):
    """Body of ``PUT /v1/orders``: the wanted end.

    Parameters
    ----------
    fencing : int
        Fencing number of the sender's lease.
    models : list of LoadedModel
        Models to be loaded; all others are unloaded.
    role : str
        ``serve``, or ``drain`` to take no more requests.
    """

    fencing: int
    models: list[LoadedModel] = []
    role: str = 'serve'


class StaleOrderError(Exception):
    """The order carries an older fencing number than one seen before.

    Parameters
    ----------
    newest : int
        Highest number seen.
    """

    def __init__(self, newest: int) -> None:
        """Keep the number."""
        super().__init__(newest)
        self.newest = newest


class ModelShelf:
    """Models loaded now, and the present order.

    Parameters
    ----------
    fencing : Fencing
        What becomes of an order with an older number.

    Attributes
    ----------
    loaded : list of LoadedModel, optional
        ``None`` until the first order: every model is served, no version.
    wanted : EngineOrder, optional
        The order taken last.
    taken : list of EngineOrder
        Every order that was taken.
    """

    __slots__ = ('_fencing', '_newest', 'loaded', 'taken', 'wanted')

    def __init__(self, fencing: Fencing) -> None:
        """Serve every model."""
        self._fencing = fencing
        self._newest = 0
        self.loaded: list[LoadedModel] | None = None
        self.wanted: EngineOrder | None = None
        self.taken: list[EngineOrder] = []

    @property
    def is_draining(self) -> bool:
        """Tell whether the present order says to take no more requests."""
        return self.wanted is not None and self.wanted.role == 'drain'

    def take(self, order: EngineOrder) -> None:
        """Make ``order`` the present one and unload what it leaves out.

        Raises
        ------
        StaleOrderError
            If its number is too old for an engine that minds it.
        """
        if self._fencing is Fencing.refuse and order.fencing < self._newest:
            raise StaleOrderError(self._newest)
        self._newest = max(self._newest, order.fencing)
        self.wanted = order
        self.taken.append(order)
        present = self.loaded or []
        self.loaded = [model for model in present if model in order.models]

    def find_missing(self) -> LoadedModel | None:
        """Return a model that is wanted and not loaded."""
        wanted = self.wanted.models if self.wanted else []
        loaded = self.loaded or []
        return next((one for one in wanted if one not in loaded), None)

    def finish(self, model: LoadedModel) -> None:
        """Keep a model that was read, unless it is no longer wanted."""
        if self.wanted and self.loaded is not None:
            if model in self.wanted.models:
                self.loaded.append(model)

    def list_names(self) -> tuple[str, ...]:
        """Return the names under which the loaded models are asked for."""
        return tuple(
            name for model in self.loaded or () for name in model.list_names()
        )

    def find(self, name: str) -> LoadedModel | None:
        """Return the loaded model that serves ``name`` now, if one does."""
        if self.loaded is None:
            is_versioned = MODEL_SEPARATOR in name
            return None if is_versioned else LoadedModel(name)
        serving = (model for model in self.loaded if model.serves(name))
        return next(serving, None)
