"""The operators' settings: a folder of INI files merged into one whole."""

from baobabhinge_settings.errors import Fault as Fault
from baobabhinge_settings.errors import SettingsError as SettingsError
from baobabhinge_settings.model import Settings as Settings
from baobabhinge_settings.reading import SourceFile as SourceFile
from baobabhinge_settings.reading import merge_files as merge_files
from baobabhinge_settings.reading import read_folder as read_folder
