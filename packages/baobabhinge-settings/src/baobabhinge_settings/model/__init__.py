"""The merged settings as typed values."""

from baobabhinge_settings.model.service import Placement as Placement
from baobabhinge_settings.model.service import RunOnceRule as RunOnceRule
from baobabhinge_settings.model.service import Service as Service
from baobabhinge_settings.model.service import ServiceKind as ServiceKind
from baobabhinge_settings.model.settings import Region as Region
from baobabhinge_settings.model.settings import Settings as Settings
