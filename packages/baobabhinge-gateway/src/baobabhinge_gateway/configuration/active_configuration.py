"""Settings with the generation they belong to."""

from collections.abc import Callable

import msgspec
import structlog

from baobabhinge_coordination.generations import Release
from baobabhinge_gateway.errors import NotConfiguredError
from baobabhinge_settings import (
    Fault,
    Merger,
    Settings,
    SettingsError,
    SourceFile,
)

log = structlog.get_logger(__name__)


class ReleaseRefusal(msgspec.Struct, frozen=True):
    """A newer release that this gateway can't put in force.

    Parameters
    ----------
    generation : int
        Its generation; 0 when there is none.
    faults : tuple of Fault
        Why it can't be read here.
    """

    generation: int = 0
    faults: tuple[Fault, ...] = ()


class ActiveConfiguration:
    """The newest settings seen; the generation never goes down.

    A release that this gateway can't read stays out of force here. It is kept
    for peers that may be able to read it.

    Attributes
    ----------
    is_watching : bool
        Whether this gateway holds a watch on the key-value service.
    refusal : ReleaseRefusal
        The newest release, if it could not be put in force.
    release : Release
        The newest release seen, in force here or not.
    """

    __slots__ = (
        '_generation',
        '_listeners',
        '_merger',
        '_settings',
        'is_watching',
        'refusal',
        'release',
    )

    def __init__(self) -> None:
        """Start without settings."""
        self._generation = 0
        self._listeners: list[Callable[[], None]] = []
        self._merger = Merger()
        self.release = Release()
        self._settings: Settings | None = None
        self.is_watching = False
        self.refusal = ReleaseRefusal()

    @property
    def generation(self) -> int:
        """Return the generation in force, 0 for none."""
        return self._generation

    def find_settings(self) -> Settings | None:
        """Return the settings in force, or ``None`` before the first."""
        return self._settings

    def require_settings(self) -> Settings:
        """Return the settings in force.

        Raises
        ------
        NotConfiguredError
            If no configuration has been seen yet.
        """
        if self._settings is None:
            raise NotConfiguredError('this gateway has no configuration yet')
        return self._settings

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each newer release."""
        self._listeners.append(listener)

    def adopt(self, release: Release) -> bool:
        """Put ``release`` in force if it is newer.

        Returns
        -------
        bool
            Whether it is in force now; ``False`` too for a newer one that
            can't be read here, see ``refusal``.
        """
        if release.generation <= self.release.generation:
            return False
        self.release = release
        self._apply_release(release)
        for listener in self._listeners:
            listener()
        return self._generation == release.generation

    def _apply_release(self, release: Release) -> None:
        files = [SourceFile(part.name, part.text) for part in release.files]
        try:
            settings = self._merger.merge(files)
        except SettingsError as refused:
            self.refusal = ReleaseRefusal(release.generation, refused.faults)
            log.warning(
                'configuration-refused',
                generation=release.generation,
                faults=[fault.code for fault in refused.faults],
            )
            return
        self._settings = settings
        self._generation = release.generation
        self.refusal = ReleaseRefusal()
