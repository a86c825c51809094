"""Steps that all scenarios may use, and examples without a limit of time."""

from hypothesis import settings

pytest_plugins = ('baobabhinge_standins.tests.steps.faults',)

# The machine's speed decides no verdict. CI's own profile stays the parent.
settings.register_profile('patient', settings(), deadline=None)
settings.load_profile('patient')
