"""The operators' settings: a folder of INI files that are merged."""

from baobabhinge_settings import sections as sections
from baobabhinge_settings.codes import FaultCode as FaultCode
from baobabhinge_settings.errors import Fault as Fault
from baobabhinge_settings.errors import SettingsError as SettingsError
from baobabhinge_settings.merging import KeyOrigin as KeyOrigin
from baobabhinge_settings.merging import Merger as Merger
from baobabhinge_settings.merging import check_files as check_files
from baobabhinge_settings.merging import explain_key as explain_key
from baobabhinge_settings.merging import merge_files as merge_files
from baobabhinge_settings.model import Settings as Settings
from baobabhinge_settings.reading import SourceFile as SourceFile
from baobabhinge_settings.reading import read_folder as read_folder
from baobabhinge_settings.schema import Key as Key
from baobabhinge_settings.settings_file import SectionSchema as SectionSchema
from baobabhinge_settings.settings_file import (
    read_settings_file as read_settings_file,
)
