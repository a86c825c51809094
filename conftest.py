"""Steps that all scenarios may use."""

pytest_plugins = ('baobabhinge_standins.tests.steps.faults',)
