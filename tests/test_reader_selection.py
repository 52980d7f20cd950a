"""Tests of the selection of readers, with a region of daemons in virtual time."""

import dataclasses

from savoryhollow.proxy import reader_selection, relay
from savoryhollow.wire import messages

HOSTS = reader_selection.rank_hosts(f"10.0.0.{number}" for number in range(40))
STEP_S = 0.1
# Within this time after its confirmation a change must be in force.
APPLY_LIMIT_S = 2.5


def select_in(selection, now, confirmed_at_by_host, unreachable=()):
    return selection.select(
        HOSTS, lambda host: host not in unreachable, confirmed_at_by_host, now
    )


def test_the_next_hosts_take_the_place_of_readers_that_can_not_be_reached():
    """A killed reader leaves its region without updates."""
    assert reader_selection.rank_hosts(reversed(HOSTS)) == HOSTS
    selection = reader_selection.ReaderSelection(HOSTS[9])
    assert select_in(selection, 0.0, {}) == HOSTS[:2]
    assert select_in(selection, 0.1, {}, unreachable=HOSTS[:1]) == HOSTS[1:3]
    assert select_in(selection, 0.2, {}) == HOSTS[:2]


def test_a_reader_without_confirmations_is_replaced_until_it_has_one_again():
    """A reader that is cut off from the platform still sends updates."""
    selection = reader_selection.ReaderSelection(HOSTS[9])
    limit_s = relay.FRESH_LIMIT_S
    told = {HOSTS[0]: 0.0, HOSTS[1]: 0.0}
    assert select_in(selection, 0.0, told) == HOSTS[:2]
    told[HOSTS[1]] = limit_s
    assert select_in(selection, limit_s + 0.1, told) == HOSTS[1:3]
    # The replacement is given time for its first update.
    assert select_in(selection, limit_s + 0.2, told) == HOSTS[1:3]
    told |= {HOSTS[0]: limit_s + 0.3, HOSTS[2]: limit_s + 0.3}
    assert select_in(selection, limit_s + 0.3, told) == HOSTS[:2]


def test_a_former_replacement_is_selected_again_when_it_is_needed_again():
    """Its last update is old by then, as it was no reader in between."""
    selection = reader_selection.ReaderSelection(HOSTS[9])
    told = {HOSTS[1]: 100.0, HOSTS[2]: 2.0}
    select_in(selection, 100.0, told | {HOSTS[0]: 100.0})
    assert select_in(selection, 101.0, told, unreachable=HOSTS[:1]) == HOSTS[1:3]


def test_a_daemon_reads_for_itself_if_all_others_are_outdated():
    """It may be the only one of its region that reaches the platform."""
    selection = reader_selection.ReaderSelection(HOSTS[9])
    now = 0.0
    while len(selection.outdated_hosts) < len(HOSTS) - 1:
        now += STEP_S
        selected = select_in(selection, now, {})
        assert now < 100.0
    assert HOSTS[9] in selected


@dataclasses.dataclass
class Daemon:
    """A daemon of the simulated region; its updates arrive one step later."""

    host: str

    def __post_init__(self):
        self.replica = relay.Replica(lambda items: None, lambda in_contact: None)
        self.selection = reader_selection.ReaderSelection(self.host)
        self.followed_hosts = set()
        self.in_force_at = None
        self.reads = 0
        self.next_answer_at = 0.0

    def step(self, now, platform_revision, reaches_platform):
        readers = self.selection.select(
            HOSTS, lambda host: True, self.replica.confirmed_at_by_source, now
        )
        self.followed_hosts |= {*readers} - {self.host}
        is_reader = self.host in readers
        due = is_reader and now >= self.next_answer_at
        if due or (not is_reader and self.replica.claim_direct_read(now)):
            self.reads += 1
            self.next_answer_at = now + relay.CONFIRMATION_INTERVAL_S
            if reaches_platform:
                self.replica.confirm(now)
                item = messages.PublishedItem("a", platform_revision, b"")
                self.replica.apply([item], platform_revision)
        if self.replica.as_of >= platform_revision and self.in_force_at is None:
            self.in_force_at = now
        return is_reader


def play_cut(seconds, cut_hosts, cut_at, change_at):
    """Cut hosts off from the platform; return all daemons after the given time."""
    daemons_by_host = {host: Daemon(host) for host in HOSTS}
    for step in range(round(seconds / STEP_S)):
        now = step * STEP_S
        revision = 2 if now >= change_at else 1
        if now < change_at:
            for daemon in daemons_by_host.values():
                daemon.reads, daemon.in_force_at = 0, None
        sent_by_host = {}
        for host, daemon in daemons_by_host.items():
            reaches_platform = host not in cut_hosts or now < cut_at
            if daemon.step(now, revision, reaches_platform):
                sent_by_host[host] = daemon.replica.message_since(-1, now)
        for daemon in daemons_by_host.values():
            for host in daemon.followed_hosts & sent_by_host.keys():
                daemon.replica.receive(sent_by_host[host], now + STEP_S / 2, host)
    return daemons_by_host


def test_a_change_is_in_force_in_time_though_both_readers_are_cut_off():
    """Both readers of a region may lose the platform without noticing it."""
    daemons_by_host = play_cut(12.0, HOSTS[:2], cut_at=5.0, change_at=5.1)
    for daemon in daemons_by_host.values():
        if daemon.host not in HOSTS[:2]:
            assert daemon.in_force_at <= 5.1 + APPLY_LIMIT_S


def test_few_daemons_read_the_platform_while_both_readers_are_cut_off():
    """If each daemon read for itself, a large region would exceed the read rate."""
    daemons_by_host = play_cut(12.0, HOSTS[:2], cut_at=5.0, change_at=5.1)
    reading = [daemon for daemon in daemons_by_host.values() if daemon.reads]
    assert len(reading) <= 2 * reader_selection.READERS_PER_REGION
