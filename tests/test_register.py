"""What a gate says of a request must hold whatever is late or forgotten."""

import collections

import hypothesis
import pytest
from hypothesis import stateful, strategies

from savoryhollow import calls
from savoryhollow.recovery import register
from savoryhollow.wire import messages

LOAD = messages.LoadReport(0, 0, 1, 0, False)
BARRED = messages.ResolutionState.BARRED
FORGOTTEN = messages.ResolutionState.FORGOTTEN
SESSIONS = ("a", "b")


def served(request_id, body=b"body"):
    return messages.ServedMessage(request_id, 200, (), body, LOAD)


def not_run(request_id):
    reason = calls.NotRunReason.DEADLINE
    return messages.NotRunMessage(request_id, reason, 0, LOAD)


def question(request_id, connection, number):
    origin = calls.Origin(connection.session, connection.number, number)
    return messages.ResolveMessage(request_id, origin)


class Wire:
    """One connection with the calls that are still on their way on it."""

    def __init__(self, connection):
        self.connection = connection
        self.late = collections.deque()
        self.sent = 0


class RegisterMachine(stateful.RuleBasedStateMachine):
    """Routers send, lose and ask; bytes arrive as late as they like."""

    def __init__(self):
        super().__init__()
        self.outcomes = register.OutcomeRegister()
        self.now = 0.0
        self.wires = []
        self.origin_by_id = {}
        self.running = set()
        self.ran = set()
        self.barred = set()

    @stateful.initialize()
    def begin_with_two(self):
        for session in SESSIONS:
            self.open(session)

    @stateful.rule(session=strategies.sampled_from(SESSIONS))
    def open(self, session):
        number = len(self.wires) + 1
        self.wires.append(Wire(self.outcomes.open(session, number, lambda: None)))

    @stateful.rule(data=strategies.data())
    def send(self, data):
        wire = data.draw(strategies.sampled_from(self.wires))
        wire.sent += 1
        request_id = f"r{len(self.origin_by_id)}"
        self.origin_by_id[request_id] = (wire, wire.sent)
        wire.late.append(request_id)

    @stateful.rule(data=strategies.data())
    def arrive(self, data):
        wire = data.draw(strategies.sampled_from(self.wires))
        if wire.late:
            request_id = wire.late.popleft()
            self.arrive_one(request_id, wire.connection)

    def arrive_one(self, request_id, connection):
        beginning = self.outcomes.begin(request_id, connection, self.now + 1)
        if beginning is register.BeginResult.ACCEPTED:
            assert request_id not in self.barred
            assert request_id not in self.ran
            self.ran.add(request_id)
            self.running.add(request_id)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), runs=strategies.booleans())
    def finish(self, data, runs):
        request_id = data.draw(strategies.sampled_from(sorted(self.running)))
        self.running.discard(request_id)
        if not runs:
            self.ran.discard(request_id)
            self.barred.add(request_id)
        answer = served(request_id) if runs else not_run(request_id)
        self.outcomes.finish(request_id, answer, self.now)

    @stateful.precondition(lambda self: self.origin_by_id)
    @stateful.rule(data=strategies.data())
    def resolve(self, data):
        request_id = data.draw(strategies.sampled_from(sorted(self.origin_by_id)))
        wire, number = self.origin_by_id[request_id]
        asker = data.draw(strategies.sampled_from(self.wires))
        if asker is wire:
            # A question on the same connection comes after the calls on it.
            while wire.late:
                self.arrive_one(wire.late.popleft(), wire.connection)
        asked = question(request_id, wire.connection, number)
        told = self.outcomes.resolve(asked, asker.connection, self.now)
        if told.state is BARRED:
            assert request_id not in self.ran
            self.barred.add(request_id)
        if told.state is messages.ResolutionState.FINISHED:
            assert told.answer.request_id == request_id

    @stateful.rule(data=strategies.data())
    def lose(self, data):
        self.outcomes.close(data.draw(strategies.sampled_from(self.wires)).connection)

    @stateful.rule(seconds=strategies.sampled_from((0.1, 5.0, 1000.0)))
    def advance(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def memory_is_bounded(self):
        assert len(self.outcomes) <= register.MAX_RECORDS


@pytest.mark.parametrize("bound", [2, 1000])
def test_not_run_is_said_on_proof_alone(monkeypatch, bound):
    monkeypatch.setattr(register, "MAX_RECORDS", bound)
    monkeypatch.setattr(register, "MAX_CLOSED_CONNECTIONS", bound)
    settings = hypothesis.settings(max_examples=150, stateful_step_count=30)
    stateful.run_state_machine_as_test(RegisterMachine, settings=settings)


def test_a_call_that_arrives_after_the_answer_barred_is_refused_for_ever():
    outcomes = register.OutcomeRegister()
    closed = []
    old = outcomes.open("a", 1, lambda: closed.append(1))
    new = outcomes.open("a", 2, lambda: closed.append(2))
    told = outcomes.resolve(question("r", old, 1), new, 0.0)
    assert told.state is BARRED
    assert closed == [1]
    beginning = outcomes.begin("r", old, 1e9)
    assert beginning is register.BeginResult.BARRED


def test_a_forgotten_request_is_never_told_as_not_run():
    outcomes = register.OutcomeRegister()
    old = outcomes.open("a", 1, lambda: None)
    new = outcomes.open("a", 2, lambda: None)
    outcomes.begin("r", old, 1.0)
    outcomes.finish("r", served("r"), 0.5)
    told = outcomes.resolve(question("r", old, 1), new, 1e6)
    assert told.state is FORGOTTEN


def test_a_forgotten_connection_proves_nothing():
    outcomes = register.OutcomeRegister()
    new = outcomes.open("a", 2, lambda: None)
    origin = calls.Origin("a", 1, 1)
    told = outcomes.resolve(messages.ResolveMessage("r", origin), new, 0.0)
    assert told.state is FORGOTTEN


def test_a_full_register_forgets_the_ended_and_refuses_only_beside_the_running(
    monkeypatch,
):
    monkeypatch.setattr(register, "MAX_RECORDS", 2)
    outcomes = register.OutcomeRegister()
    connection = outcomes.open("a", 1, lambda: None)
    outcomes.begin("first", connection, 1.0)
    outcomes.begin("second", connection, 1.0)
    beginning = outcomes.begin("third", connection, 1.0)
    assert beginning is register.BeginResult.FULL
    outcomes.finish("first", served("first"), 0.0)
    beginning = outcomes.begin("fourth", connection, 1.0)
    assert beginning is register.BeginResult.ACCEPTED
    for number, request_id in ((1, "first"), (3, "third")):
        asked = question(request_id, connection, number)
        assert outcomes.resolve(asked, connection, 0.0).state is FORGOTTEN


def test_answers_are_held_within_a_bound_of_bytes(monkeypatch):
    monkeypatch.setattr(register, "MAX_ANSWER_BYTES", 10)
    outcomes = register.OutcomeRegister()
    connection = outcomes.open("a", 1, lambda: None)
    for number, size in enumerate((6, 6, 11), start=1):
        request_id = f"r{number}"
        outcomes.begin(request_id, connection, 1.0)
        outcomes.finish(request_id, served(request_id, b"x" * size), 0.0)
    states = [
        outcomes.resolve(question(f"r{n}", connection, n), connection, 0.0).state
        for n in (1, 2, 3)
    ]
    assert states == [FORGOTTEN, FORGOTTEN, FORGOTTEN]
