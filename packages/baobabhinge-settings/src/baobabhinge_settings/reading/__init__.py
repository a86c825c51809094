"""Reading and parsing of the files of a settings folder."""

from baobabhinge_settings.reading.folder import SourceFile as SourceFile
from baobabhinge_settings.reading.folder import read_folder as read_folder
from baobabhinge_settings.reading.folder import sort_files as sort_files
