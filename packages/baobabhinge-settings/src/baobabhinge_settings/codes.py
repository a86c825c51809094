"""Stable codes of the faults of settings."""

import enum


class FaultCode(enum.StrEnum):
    """Code of a fault; ``docs/errors-settings.md`` explains each."""

    bad_address = 'bad-address'
    bad_choice = 'bad-choice'
    bad_flag = 'bad-flag'
    bad_identifier = 'bad-identifier'
    bad_number = 'bad-number'
    bad_pattern = 'bad-pattern'
    confusable_identifier = 'confusable-identifier'
    decimal_comma = 'decimal-comma'
    duplicate_key = 'duplicate-key'
    duplicate_section = 'duplicate-section'
    empty_folder = 'empty-folder'
    file_too_large = 'file-too-large'
    file_unreadable = 'file-unreadable'
    malformed_line = 'malformed-line'
    missing_key = 'missing-key'
    missing_reference = 'missing-reference'
    not_ascii = 'not-ascii'
    not_utf8 = 'not-utf8'
    nowhere_to_run = 'nowhere-to-run'
    number_without_unit = 'number-without-unit'
    out_of_range = 'out-of-range'
    override_not_allowed = 'override-not-allowed'
    region_without_backend = 'region-without-backend'
    unknown_key = 'unknown-key'
    unknown_section = 'unknown-section'
    weights_not_whole = 'weights-not-whole'
    wrong_kind = 'wrong-kind'
    wrong_unit = 'wrong-unit'
