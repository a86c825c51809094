"""One state of the run-once protocol, and the actions possible in it.

Owner, witness and key mint are the real classes. Around them is a model of
the network, the backend servers, another gateway and two callers. A lost
message is one that is never delivered, a paused process one whose messages
are not delivered, and messages are delivered in any order. An outcome for a
caller is delivered at once, since losing it leads to the same states as a
gateway whose wait for the owner timed out before.
"""

from collections import Counter
from datetime import timedelta
from random import Random

from baobabhinge_coordination import runonce
from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.runonce.owner import OwnerAction
from baobabhinge_coordination.runonce.tests.component_state import (
    copy_component,
    fingerprint_component,
)
from baobabhinge_coordination.runonce.tests.scenarios import (
    DUPLICABLE,
    GuaranteeViolatedError,
    MessageKind,
    ModelMessage,
)

OWNER = runonce.Party('vm-1', 'owner-1')
NEXT_OWNER = runonce.Party('vm-1', 'owner-2')
WITNESS = runonce.Party('vm-2', 'witness-1')
NEXT_WITNESS = runonce.Party('vm-2', 'witness-2')
RETENTION = runonce.Retention()
PAST_RETENTION = timedelta(hours=1)
FAULTS = ('crash-owner', 'crash-witness', 'age-owner', 'age-witness')


class ProtocolState:
    """State of the processes, the network and the callers."""

    __slots__ = (
        '_attempts',
        '_faults',
        '_fingerprints',
        '_in_flight',
        '_key',
        '_owner',
        '_reported',
        '_runs',
        '_scenario',
        '_waiting_attempts',
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
        self._in_flight = ()
        if scenario.has_witness:
            opened = self._witness.open_epoch(runonce.OpenEpoch(OWNER))
            mint.use_window(
                runonce.MintWindow(timedelta(), opened.witness, opened.epoch),
            )
        self._key = mint.mint(1)[0]
        self._runs = ()
        self._waiting_attempts = frozenset()
        self._attempts = tuple('sent' for _ in scenario.digests)
        self._reported = tuple(None for _ in scenario.digests)
        self._faults = ()
        self._fingerprints = {}
        for number, digest in enumerate(scenario.digests):
            self._send(
                MessageKind.attempt if digest else MessageKind.query, number
            )

    def clone(self):
        """Return a copy that shares owner and witness until they change."""
        copied = object.__new__(ProtocolState)
        for name in ProtocolState.__slots__:
            setattr(copied, name, getattr(self, name))
        copied._fingerprints = dict(self._fingerprints)
        return copied

    def fingerprint(self):
        return hash(
            (
                self._compute_fingerprint('_owner'),
                self._compute_fingerprint('_witness'),
                frozenset(Counter(self._in_flight).items()),
                self._runs,
                self._waiting_attempts,
                self._attempts,
                self._reported,
                frozenset(Counter(self._faults).items()),
            ),
        )

    def list_actions(self):
        """Return the possible actions: methods with their arguments."""
        actions = [
            action
            for message in dict.fromkeys(self._in_flight)
            for action in self._list_deliveries(message)
        ]
        actions.extend(
            (ProtocolState.inject_fault, fault)
            for fault in FAULTS
            if self._has_budget(fault)
        )
        actions.extend(
            (ProtocolState.give_up_on_owner, number)
            for number, step in enumerate(self._attempts)
            if step == 'sent'
        )
        if self._read_step() == 'recording':
            actions.append((ProtocolState.stop_waiting_for_verdict, None))
        return actions

    def check(self):
        """Raise if this state violates a guarantee."""
        if len(self._runs) > 1:
            raise GuaranteeViolatedError(
                f'the call ran {len(self._runs)} times',
            )
        reports = zip(self._scenario.digests, self._reported, strict=True)
        for digest, outcome in reports:
            if outcome is not None:
                _check_reported(digest, outcome, self._runs)

    def list_reasons(self):
        return [outcome.reason.value for outcome in self._reported if outcome]

    # Actions: deliveries, faults and timeouts.

    def deliver(self, message):
        remaining = list(self._in_flight)
        remaining.remove(message)
        self._in_flight = tuple(remaining)
        self._receive(message)

    def duplicate(self, message):
        self._faults = (*self._faults, 'duplicate')
        self._receive(message)

    def lose_answer(self, message):
        """Run the call at the backend server, and lose its answer."""
        self.deliver(message)
        self._in_flight = tuple(
            sent
            for sent in self._in_flight
            if sent.kind is not MessageKind.served
        )
        self._handle_failure(message, runonce.DispatchFailure.broken)

    def refuse_connection(self, message):
        """Refuse the connection to the backend server."""
        self._in_flight = tuple(
            sent for sent in self._in_flight if sent != message
        )
        self._faults = (*self._faults, 'refuse')
        self._handle_failure(message, runonce.DispatchFailure.not_reached)

    def inject_fault(self, fault):
        self._faults = (*self._faults, fault)
        if fault == 'crash-owner':
            self._waiting_attempts = frozenset()
            self._owner = runonce.Owner(NEXT_OWNER, ManualClock(), RETENTION)
            self._fingerprints.pop('_owner', None)
        elif fault == 'crash-witness':
            self._witness = runonce.Witness(
                NEXT_WITNESS,
                ManualClock(),
                RETENTION,
            )
            self._fingerprints.pop('_witness', None)
            self._witness.open_epoch(runonce.OpenEpoch(OWNER))
        elif fault == 'age-owner':
            owner = self._copy_for_change('_owner')
            owner.entries._clock.advance(PAST_RETENTION)
            owner.entries.drop_expired()
        else:
            witness = self._copy_for_change('_witness')
            witness.epochs._clock.advance(PAST_RETENTION)
            witness.epochs.drop_expired()
            self._send(MessageKind.open_epoch)

    def give_up_on_owner(self, number):
        """Time out the attempt's gateway in its wait for the owner."""
        if self._scenario.has_witness:
            self._set_step(number, 'asking')
            self._send(MessageKind.ask, number)
        else:
            self._report(number, runonce.resolve_without_owner(None))

    def stop_waiting_for_verdict(self, _):
        """Time out the owner in its wait for the verdict of its witness."""
        self._follow_instruction(
            self._copy_for_change('_owner').resolve_intent(self._key, None)
        )

    # Messages to the owner, and what it does about them.

    def _on_attempt(self, message):
        digest = self._scenario.digests[message.number]
        instruction = self._copy_for_change('_owner').begin(self._key, digest)
        self._reply(message.number, instruction)

    def _on_query(self, message):
        self._reply(
            message.number, self._copy_for_change('_owner').close(self._key)
        )

    def _on_verdict(self, message):
        if self._owner.party == OWNER:
            verdict = runonce.IntentVerdict(message.text)
            owner = self._copy_for_change('_owner')
            self._follow_instruction(owner.resolve_intent(self._key, verdict))

    def _on_served(self, message):
        answer = runonce.KeptAnswer(200, (), message.text.encode())
        self._record_outcome(runonce.build_answered_outcome(answer))

    def _reply(self, number, instruction):
        outcome = instruction.outcome
        if outcome is None:
            self._waiting_attempts |= {number}
            self._follow_instruction(instruction)
        elif outcome.reason is runonce.OutcomeReason.owner_lost:
            self.give_up_on_owner(number)
        else:
            self._report(number, outcome)

    def _follow_instruction(self, instruction):
        action = instruction.action
        entry = self._owner.entries.find(self._key)
        if action is OwnerAction.record:
            self._send(MessageKind.intent, text=entry.digest)
        elif action is OwnerAction.dispatch:
            self._send(MessageKind.dispatch, text=entry.digest)
        elif action is OwnerAction.report:
            for number in self._waiting_attempts:
                self._report(number, instruction.outcome)
            self._waiting_attempts = frozenset()

    def _record_outcome(self, outcome):
        if self._owner.party == OWNER:
            owner = self._copy_for_change('_owner')
            self._follow_instruction(owner.record_outcome(self._key, outcome))
            if self._scenario.has_witness:
                self._send(MessageKind.copy, outcome=outcome)

    def _handle_failure(self, message, failure):
        if self._owner.party != OWNER:
            return
        if runonce.may_try_another_server(failure):
            self._send(MessageKind.dispatch, text=message.text)
        else:
            self._record_outcome(runonce.DISPATCH_FAILURE_OUTCOMES[failure])

    # Messages to the backend servers.

    def _on_dispatch(self, message):
        self._runs = (*self._runs, message.text)
        if self._owner.party == OWNER:
            self._send(MessageKind.served, text=message.text)

    # Messages to the witness.

    def _on_open_epoch(self, message):
        self._copy_for_change('_witness').open_epoch(runonce.OpenEpoch(OWNER))

    def _on_intent(self, message):
        intent = runonce.RecordIntent(self._key, message.text)
        verdict = self._copy_for_change('_witness').record_intent(intent)
        if self._owner.party == OWNER:
            self._send(MessageKind.verdict, text=verdict.value)

    def _on_copy(self, message):
        report = runonce.CopyOutcome(self._key, message.outcome)
        self._copy_for_change('_witness').copy_outcome(report)

    def _on_ask(self, message):
        digest = self._scenario.digests[message.number]
        request = runonce.AskOutcome(self._key, digest)
        outcome = self._copy_for_change('_witness').seal(request)
        self._report(message.number, runonce.resolve_without_owner(outcome))

    # Helpers.

    def _receive(self, message):
        name = message.kind.name
        getattr(self, f'_on_{name}')(message)

    def _list_deliveries(self, message):
        actions = [(ProtocolState.deliver, message)]
        if message.kind in DUPLICABLE and self._has_budget('duplicate'):
            actions.append((ProtocolState.duplicate, message))
        if message.kind is MessageKind.dispatch:
            actions.append((ProtocolState.lose_answer, message))
            if self._has_budget('refuse'):
                actions.append((ProtocolState.refuse_connection, message))
        return actions

    def _has_budget(self, fault):
        if len(self._faults) >= self._scenario.faults:
            return False
        return fault not in self._faults

    def _read_step(self):
        entry = self._owner.entries.find(self._key)
        return entry.step.value if entry else ''

    def _copy_for_change(self, name):
        copied = copy_component(getattr(self, name), {})
        setattr(self, name, copied)
        self._fingerprints.pop(name, None)
        return copied

    def _compute_fingerprint(self, name):
        if name not in self._fingerprints:
            self._fingerprints[name] = hash(
                fingerprint_component(getattr(self, name))
            )
        return self._fingerprints[name]

    def _send(self, kind, number=0, text='', outcome=None):
        self._in_flight = (
            *self._in_flight,
            ModelMessage(kind, number, text, outcome),
        )

    def _set_step(self, number, step):
        steps = list(self._attempts)
        steps[number] = step
        self._attempts = tuple(steps)

    def _report(self, number, outcome):
        if self._attempts[number] != 'reported':
            self._set_step(number, 'reported')
            reported = list(self._reported)
            reported[number] = outcome
            self._reported = tuple(reported)


def _check_reported(digest, outcome, runs):
    ran = digest in runs if digest else bool(runs)
    if outcome.kind is runonce.OutcomeKind.not_run and ran:
        reason = outcome.reason.value
        raise GuaranteeViolatedError(
            f'"not run" ({reason}) was reported, but the call ran'
        )
    if outcome.kind is runonce.OutcomeKind.answered and digest:
        if outcome.answer.body.decode() != digest:
            raise GuaranteeViolatedError(
                'the reported answer belongs to another request'
            )
