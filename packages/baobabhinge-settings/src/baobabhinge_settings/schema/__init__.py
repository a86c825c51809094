"""Kinds of section, their keys, and the parsers of values."""

from baobabhinge_settings.schema.keys import Key as Key
from baobabhinge_settings.schema.keys import Reference as Reference
from baobabhinge_settings.schema.registry import SectionKind as SectionKind
from baobabhinge_settings.schema.registry import (
    find_section_kind as find_section_kind,
)
from baobabhinge_settings.schema.registry import (
    list_section_kinds as list_section_kinds,
)
from baobabhinge_settings.schema.registry import (
    register_section as register_section,
)
