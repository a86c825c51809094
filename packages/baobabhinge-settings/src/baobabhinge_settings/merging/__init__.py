"""Merging of the files of a folder into typed settings."""

from baobabhinge_settings.merging.key_origins import KeyOrigin as KeyOrigin
from baobabhinge_settings.merging.key_origins import (
    explain_key as explain_key,
)
from baobabhinge_settings.merging.merger import Merger as Merger
from baobabhinge_settings.merging.merger import check_files as check_files
from baobabhinge_settings.merging.merger import merge_files as merge_files
