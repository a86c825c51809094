"""Choice of the services whose servers are observed."""

import enum


class LearningMode(enum.Enum):
    """Services whose servers are observed.

    ``told``: those whose servers report a pace.
    """

    never = 'never'
    always = 'always'
    told = 'told'


class Learning:
    """Services whose servers are observed, by the setting of the operators.

    Attributes
    ----------
    mode : LearningMode
        Setting of the operators.
    """

    __slots__ = ('_reporting', 'mode')

    def __init__(self) -> None:
        """Start without services that report a pace."""
        self._reporting: set[str] = set()
        self.mode = LearningMode.told

    def record_pace(self, service: str) -> None:
        """Record that a server of ``service`` reports its pace."""
        self._reporting.add(service)

    def reports_pace(self, service: str) -> bool:
        """Return whether a server of ``service`` has reported its pace."""
        return service in self._reporting

    def is_active(self, service: str) -> bool:
        """Return whether the servers of ``service`` are observed."""
        if self.mode is not LearningMode.told:
            return self.mode is LearningMode.always
        return self.reports_pace(service)
