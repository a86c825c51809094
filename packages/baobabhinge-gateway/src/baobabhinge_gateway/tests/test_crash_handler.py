import logging

import structlog

from baobabhinge_gateway.telemetry.crash_handler import CrashHandler


def log_failure(logger):
    try:
        {}['text of a request']
    except KeyError:
        logger.exception('crashed on %r', 'text of a request')


def test_failed_service_is_logged_without_the_text_of_its_error():
    """The message of an error may contain text of a request."""
    logger = logging.getLogger('some.service')
    logger.addHandler(CrashHandler())
    with structlog.testing.capture_logs() as lines:
        log_failure(logger)
    logger.handlers.clear()
    assert [line['event'] for line in lines] == ['service-failed']
    assert lines[0]['reason'] == 'KeyError'
    assert lines[0]['place'].startswith('test_crash_handler.py:')
    assert 'text of a request' not in str(lines)
