"""One state of the run-once protocol, and what can happen next.

The machines under test are real; the model around them is the network, the
backend servers, one more gateway and two callers. Loss is a message that stays
undelivered, a pause is a process whose messages stay undelivered, late
delivery is any order. An answer that reaches its caller is delivered at once:
losing it is the same as the caller's gateway having given up before.
"""

from collections import Counter
from datetime import timedelta
from random import Random

from baobabhinge_coordination import runonce
from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.runonce.owner import OwnerAction
from baobabhinge_coordination.runonce.tests.machine_state import (
    clone_machine,
    identify_machine,
)
from baobabhinge_coordination.runonce.tests.scenarios import (
    REPEATABLE,
    GuaranteeViolatedError,
    MessageKind,
    ModelMessage,
)

OWNER = runonce.Party('vm-1', 'owner-1')
NEXT_OWNER = runonce.Party('vm-1', 'owner-2')
WITNESS = runonce.Party('vm-2', 'witness-1')
NEXT_WITNESS = runonce.Party('vm-2', 'witness-2')
RETENTION = runonce.Retention()
LONG = timedelta(hours=1)
CRASHES = ('crash-owner', 'crash-witness', 'age-owner', 'age-witness')


class ProtocolState:
    """One state of everything."""

    __slots__ = (
        '_attempts',
        '_faults',
        '_key',
        '_net',
        '_owner',
        '_prints',
        '_runs',
        '_scenario',
        '_told',
        '_waiting',
        '_witness',
    )

    def __init__(self, scenario):
        clock = ManualClock()
        self._scenario = scenario
        self._owner = runonce.Owner(OWNER, clock, RETENTION)
        self._witness = runonce.Witness(WITNESS, ManualClock(), RETENTION)
        mint = runonce.KeyMint(
            runonce.Issuer('west', OWNER),
            runonce.KeySigner(Random(1)),
            clock,
            Random(2),
            RETENTION,
        )
        self._net = ()
        if scenario.has_witness:
            opened = self._witness.open_epoch(runonce.OpenEpoch(OWNER))
            mint.use_window(
                runonce.MintWindow(timedelta(), opened.witness, opened.epoch),
            )
        self._key = mint.mint(1)[0]
        self._runs = ()
        self._waiting = frozenset()
        self._attempts = tuple('sent' for _ in scenario.digests)
        self._told = tuple(None for _ in scenario.digests)
        self._faults = ()
        self._prints = {}
        for number, digest in enumerate(scenario.digests):
            self._send(
                MessageKind.attempt if digest else MessageKind.query, number
            )

    def clone(self):
        """Return a copy; a machine is copied when it is first changed."""
        twin = object.__new__(ProtocolState)
        for name in ProtocolState.__slots__:
            setattr(twin, name, getattr(self, name))
        twin._prints = dict(self._prints)
        return twin

    def fingerprint(self):
        return hash(
            (
                self._print('_owner'),
                self._print('_witness'),
                frozenset(Counter(self._net).items()),
                self._runs,
                self._waiting,
                self._attempts,
                self._told,
                frozenset(Counter(self._faults).items()),
            ),
        )

    def list_actions(self):
        """Return what can happen next: methods with their arguments."""
        actions = [
            action
            for message in dict.fromkeys(self._net)
            for action in self._list_deliveries(message)
        ]
        actions.extend(
            (ProtocolState.suffer, fault)
            for fault in CRASHES
            if self._has_budget(fault)
        )
        actions.extend(
            (ProtocolState.lose_patience, number)
            for number, step in enumerate(self._attempts)
            if step == 'sent'
        )
        if self._read_step() == 'recording':
            actions.append((ProtocolState.give_up_intent, None))
        return actions

    def check(self):
        """Raise if a promise is broken in this state."""
        if len(self._runs) > 1:
            raise GuaranteeViolatedError(f'it ran {len(self._runs)} times')
        told = zip(self._scenario.digests, self._told, strict=True)
        for digest, outcome in told:
            if outcome is not None:
                _check_told(digest, outcome, self._runs)

    def list_reasons(self):
        return [outcome.reason.value for outcome in self._told if outcome]

    # What can happen.

    def deliver(self, message):
        rest = list(self._net)
        rest.remove(message)
        self._net = tuple(rest)
        self._take(message)

    def duplicate(self, message):
        self._faults = (*self._faults, 'duplicate')
        self._take(message)

    def lose_reply(self, message):
        """The backend server runs the call, and its answer is lost."""
        self.deliver(message)
        self._net = tuple(
            sent for sent in self._net if sent.kind is not MessageKind.served
        )
        self._end(message, runonce.DispatchFailure.broken)

    def refuse(self, message):
        """The backend server refuses the connection."""
        self._net = tuple(sent for sent in self._net if sent != message)
        self._faults = (*self._faults, 'refuse')
        self._end(message, runonce.DispatchFailure.not_reached)

    def suffer(self, fault):
        self._faults = (*self._faults, fault)
        if fault == 'crash-owner':
            self._waiting = frozenset()
            self._owner = runonce.Owner(NEXT_OWNER, ManualClock(), RETENTION)
            self._prints.pop('_owner', None)
        elif fault == 'crash-witness':
            self._witness = runonce.Witness(
                NEXT_WITNESS,
                ManualClock(),
                RETENTION,
            )
            self._prints.pop('_witness', None)
            self._witness.open_epoch(runonce.OpenEpoch(OWNER))
        elif fault == 'age-owner':
            owner = self._change('_owner')
            owner.entries._clock.advance(LONG)
            owner.entries.drop_expired()
        else:
            witness = self._change('_witness')
            witness.epochs._clock.advance(LONG)
            witness.epochs.drop_expired()
            self._send(MessageKind.open_epoch)

    def lose_patience(self, number):
        """The gateway of an attempt gives the owner up."""
        if self._scenario.has_witness:
            self._set_step(number, 'asking')
            self._send(MessageKind.ask, number)
        else:
            self._tell(number, runonce.resolve_without_owner(None))

    def give_up_intent(self, _):
        """The owner stops waiting for its witness."""
        self._follow(self._change('_owner').resolve_intent(self._key, None))

    # The owner.

    def _on_attempt(self, message):
        digest = self._scenario.digests[message.number]
        instruction = self._change('_owner').begin(self._key, digest)
        self._answer(message.number, instruction)

    def _on_query(self, message):
        self._answer(message.number, self._change('_owner').close(self._key))

    def _on_verdict(self, message):
        if self._owner.party == OWNER:
            verdict = runonce.IntentVerdict(message.text)
            owner = self._change('_owner')
            self._follow(owner.resolve_intent(self._key, verdict))

    def _on_served(self, message):
        answer = runonce.KeptAnswer(200, (), message.text.encode())
        self._settle(runonce.build_answered_outcome(answer))

    def _answer(self, number, instruction):
        outcome = instruction.outcome
        if outcome is None:
            self._waiting |= {number}
            self._follow(instruction)
        elif outcome.reason is runonce.OutcomeReason.owner_lost:
            self.lose_patience(number)
        else:
            self._tell(number, outcome)

    def _follow(self, instruction):
        action = instruction.action
        entry = self._owner.entries.find(self._key)
        if action is OwnerAction.record:
            self._send(MessageKind.intent, text=entry.digest)
        elif action is OwnerAction.dispatch:
            self._send(MessageKind.dispatch, text=entry.digest)
        elif action is OwnerAction.report:
            for number in self._waiting:
                self._tell(number, instruction.outcome)
            self._waiting = frozenset()

    def _settle(self, outcome):
        if self._owner.party == OWNER:
            owner = self._change('_owner')
            self._follow(owner.record_outcome(self._key, outcome))
            if self._scenario.has_witness:
                self._send(MessageKind.copy, outcome=outcome)

    def _end(self, message, end):
        if self._owner.party != OWNER:
            return
        if runonce.may_try_another_server(end):
            self._send(MessageKind.dispatch, text=message.text)
        else:
            self._settle(runonce.DISPATCH_FAILURE_OUTCOMES[end])

    # The backend servers.

    def _on_dispatch(self, message):
        self._runs = (*self._runs, message.text)
        if self._owner.party == OWNER:
            self._send(MessageKind.served, text=message.text)

    # The witness.

    def _on_open_epoch(self, message):
        self._change('_witness').open_epoch(runonce.OpenEpoch(OWNER))

    def _on_intent(self, message):
        order = runonce.RecordIntent(self._key, message.text)
        verdict = self._change('_witness').record_intent(order)
        if self._owner.party == OWNER:
            self._send(MessageKind.verdict, text=verdict.value)

    def _on_copy(self, message):
        order = runonce.CopyOutcome(self._key, message.outcome)
        self._change('_witness').copy_outcome(order)

    def _on_ask(self, message):
        digest = self._scenario.digests[message.number]
        order = runonce.AskOutcome(self._key, digest)
        told = self._change('_witness').seal(order)
        self._tell(message.number, runonce.resolve_without_owner(told))

    # Helpers.

    def _take(self, message):
        name = message.kind.name
        getattr(self, f'_on_{name}')(message)

    def _list_deliveries(self, message):
        actions = [(ProtocolState.deliver, message)]
        if message.kind in REPEATABLE and self._has_budget('duplicate'):
            actions.append((ProtocolState.duplicate, message))
        if message.kind is MessageKind.dispatch:
            actions.append((ProtocolState.lose_reply, message))
            if self._has_budget('refuse'):
                actions.append((ProtocolState.refuse, message))
        return actions

    def _has_budget(self, fault):
        if len(self._faults) >= self._scenario.faults:
            return False
        return fault not in self._faults

    def _read_step(self):
        entry = self._owner.entries.find(self._key)
        return entry.step.value if entry else ''

    def _change(self, name):
        copied = clone_machine(getattr(self, name), {})
        setattr(self, name, copied)
        self._prints.pop(name, None)
        return copied

    def _print(self, name):
        if name not in self._prints:
            self._prints[name] = hash(identify_machine(getattr(self, name)))
        return self._prints[name]

    def _send(self, kind, number=0, text='', outcome=None):
        self._net = (*self._net, ModelMessage(kind, number, text, outcome))

    def _set_step(self, number, step):
        steps = list(self._attempts)
        steps[number] = step
        self._attempts = tuple(steps)

    def _tell(self, number, outcome):
        if self._attempts[number] != 'told':
            self._set_step(number, 'told')
            told = list(self._told)
            told[number] = outcome
            self._told = tuple(told)


def _check_told(digest, outcome, runs):
    ran = digest in runs if digest else bool(runs)
    if outcome.kind is runonce.OutcomeKind.not_run and ran:
        reason = outcome.reason.value
        raise GuaranteeViolatedError(f'told not run ({reason}), but it ran')
    if outcome.kind is runonce.OutcomeKind.answered and digest:
        if outcome.answer.body.decode() != digest:
            raise GuaranteeViolatedError('the answer is for another request')
