"""The settings that a gateway uses, and the release that they come from."""

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
    """A newer release that this gateway could not apply.

    Parameters
    ----------
    generation : int
        Generation of the release; 0 if no release was refused.
    faults : tuple of Fault
        Faults found in the files of the release.
    """

    generation: int = 0
    faults: tuple[Fault, ...] = ()


class ActiveConfiguration:
    """Settings of the newest readable release; its generation never decreases.

    A release that this gateway can't read is not applied. It is still kept in
    `release`, because peers with another software version may be able to read
    it.

    Attributes
    ----------
    is_watching : bool
        Whether this gateway watches the manifest in the key-value service.
    refusal : ReleaseRefusal
        Set if the newest release could not be applied, else generation 0.
    release : Release
        Newest release received, whether it was applied or not.
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
        """Start at generation 0, without settings."""
        self._generation = 0
        self._listeners: list[Callable[[], None]] = []
        self._merger = Merger()
        self.release = Release()
        self._settings: Settings | None = None
        self.is_watching = False
        self.refusal = ReleaseRefusal()

    @property
    def generation(self) -> int:
        """Return the generation in force, 0 before the first."""
        return self._generation

    def find_settings(self) -> Settings | None:
        """Return the settings in force; ``None`` before the first release."""
        return self._settings

    def require_settings(self) -> Settings:
        """Return the settings in force.

        Raises
        ------
        NotConfiguredError
            If no release has been applied yet.
        """
        if self._settings is None:
            raise NotConfiguredError('this gateway has no configuration yet')
        return self._settings

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each newer release, applied or refused."""
        self._listeners.append(listener)

    def adopt(self, release: Release) -> bool:
        """Store ``release`` if it is newer, and apply it if it can be read.

        Returns
        -------
        bool
            Whether its settings are in force now; ``False`` also for a newer
            release that can't be read here, see ``refusal``.
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
        except SettingsError as error:
            self.refusal = ReleaseRefusal(release.generation, error.faults)
            log.warning(
                'configuration-refused',
                generation=release.generation,
                faults=[fault.code for fault in error.faults],
            )
            return
        self._settings = settings
        self._generation = release.generation
        self.refusal = ReleaseRefusal()
