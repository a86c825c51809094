"""Settings with the generation they belong to."""

from baobabhinge_coordination.generations import Release
from baobabhinge_gateway.errors import NotConfiguredError
from baobabhinge_settings import Settings, SourceFile, merge_files


class ActiveConfiguration:
    """The newest settings seen; the generation never goes down."""

    __slots__ = ('_release', '_settings')

    def __init__(self) -> None:
        """Start without settings."""
        self._release = Release()
        self._settings: Settings | None = None

    @property
    def generation(self) -> int:
        """Return the generation in force, 0 for none."""
        return self._release.generation

    @property
    def release(self) -> Release:
        """Return the release in force."""
        return self._release

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

    def adopt(self, release: Release) -> bool:
        """Put ``release`` in force if it is newer."""
        if release.generation <= self._release.generation:
            return False
        files = [SourceFile(part.name, part.text) for part in release.files]
        self._settings = merge_files(files)
        self._release = release
        return True
