"""Checks of a merged folder.

Importing this package registers them.
"""

from baobabhinge_settings.checking import (
    references as references,
)
from baobabhinge_settings.checking import (
    replicas as replicas,
)
from baobabhinge_settings.checking import (
    sections as sections,
)
from baobabhinge_settings.checking.registry import find_faults as find_faults
