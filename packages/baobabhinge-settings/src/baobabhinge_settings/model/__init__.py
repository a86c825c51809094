"""Typed values of the merged settings."""

from baobabhinge_settings.model.regions import Link as Link
from baobabhinge_settings.model.regions import Region as Region
from baobabhinge_settings.model.rules import DataOrigin as DataOrigin
from baobabhinge_settings.model.rules import DataRule as DataRule
from baobabhinge_settings.model.rules import Limit as Limit
from baobabhinge_settings.model.rules import Objective as Objective
from baobabhinge_settings.model.rules import Workspace as Workspace
from baobabhinge_settings.model.service import Adapter as Adapter
from baobabhinge_settings.model.service import ModelVersion as ModelVersion
from baobabhinge_settings.model.service import Placement as Placement
from baobabhinge_settings.model.service import RunOnceRule as RunOnceRule
from baobabhinge_settings.model.service import Service as Service
from baobabhinge_settings.model.service import ServiceKind as ServiceKind
from baobabhinge_settings.model.settings import Settings as Settings
