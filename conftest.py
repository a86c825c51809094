"""Steps that all scenarios may use, and examples without a limit of time."""

import importlib

from hypothesis import settings

# Hypothesis imports it in the middle of a test. Python 3.11 then now and then
# ends the compilation of its source with a SystemError.
importlib.import_module('hypothesis.internal.conjecture.optimiser')

pytest_plugins = ('baobabhinge_standins.tests.steps.faults',)

# The machine's speed decides no verdict. CI's own profile stays the parent.
settings.register_profile('patient', settings(), deadline=None)
settings.load_profile('patient')
