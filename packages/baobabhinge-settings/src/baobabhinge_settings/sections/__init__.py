"""Kinds of section that a settings folder may have.

Importing this package registers them.
"""

from baobabhinge_settings.sections import (
    deployment as deployment,
)
from baobabhinge_settings.sections import (
    regions as regions,
)
from baobabhinge_settings.sections import (
    rules as rules,
)
from baobabhinge_settings.sections import (
    services as services,
)
