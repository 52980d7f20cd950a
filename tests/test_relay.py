import json
import random
import signal
import time

import hypothesis
import pytest
from hypothesis import strategies as st

from emulator import deployment, plans
from savoryhollow import errors
from savoryhollow.membership import table
from savoryhollow.store import documents, publications, reader, relay, topology, trust
from savoryhollow.wire import codec, messages

TOPIC = publications.CONFIGURATION_TOPIC
# Limit for something to come about on real daemons, in s.
LIVENESS_S = 20.0


def accept(document):
    if "bad" in document.texts_by_name.values():
        problem = errors.Problem("f", "$", "bad", "write something else")
        raise errors.ConfigurationError([problem])


def make_publications():
    return publications.Publications([documents.Replica(TOPIC, accept)])


DOCUMENTS = st.builds(
    documents.make_document,
    st.integers(0, 4),
    st.dictionaries(
        st.sampled_from("abc"), st.sampled_from(["x", "y", "bad"]), max_size=3
    ),
)


# ---------------------------------------------------------------------------
#   Revisions only rise
# ---------------------------------------------------------------------------


@hypothesis.given(st.lists(DOCUMENTS, max_size=12), st.randoms(use_true_random=False))
def test_every_order_of_arrival_ends_at_the_newest_accepted_document(offered, rng):
    good = [d for d in offered if "bad" not in d.texts_by_name.values()]
    newest = max((d.version for d in good), default=documents.NO_VERSION)
    for _ in range(3):
        held = make_publications()
        seen = []
        for document in offered:
            held.offer(TOPIC, document)
            seen.append(held.version(TOPIC))
        assert held.version(TOPIC) == newest
        assert seen == sorted(seen)
        rng.shuffle(offered)


def test_a_good_revision_below_a_rejected_one_is_still_put_in_force():
    held = make_publications()
    held.offer(TOPIC, documents.make_document(12, {"a": "bad"}))
    assert held.offer(TOPIC, documents.make_document(11, {"a": "x"}))
    assert held.offer(TOPIC, documents.make_document(13, {"a": "y"}))
    assert held.version(TOPIC).revision == 13


# ---------------------------------------------------------------------------
#   Comparison
# ---------------------------------------------------------------------------


def sent(message):
    return codec.decode(codec.encode(message))


def reconcile(here, there):
    """Run the exchange of the relay between two processes; return its messages."""
    asked = sent(messages.CompareMessage(here.versions()))
    told = sent(there.answer(asked))
    here.apply(told)
    brought = sent(here.compare(told.versions))
    if brought.deltas:
        there.answer(brought)
    return [asked, told, brought]


@hypothesis.given(st.lists(DOCUMENTS, max_size=6), st.lists(DOCUMENTS, max_size=6))
def test_a_comparison_brings_both_sides_to_the_newer_document(mine, theirs):
    here, there = make_publications(), make_publications()
    for held, offered in ((here, mine), (there, theirs)):
        for document in offered:
            held.offer(TOPIC, document)
    newer = max(here.version(TOPIC), there.version(TOPIC))
    reconcile(here, there)
    assert here.version(TOPIC) == there.version(TOPIC) == newer


def test_only_what_changed_travels():
    here, there = make_publications(), make_publications()
    texts = {f"{number:03}.json": "x" * 300 for number in range(340)}
    here.offer(TOPIC, documents.make_document(1, texts))
    reconcile(there, here)
    here.offer(TOPIC, documents.make_document(2, texts | {"001.json": "y"}))
    shorter = {k: v for k, v in texts.items() if k != "002.json"}
    here.offer(TOPIC, documents.make_document(3, shorter))
    exchanged = reconcile(here, there)
    assert there.version(TOPIC) == here.version(TOPIC)
    assert sum(len(codec.encode(message)) for message in exchanged) < 1200


def test_a_delta_that_does_not_lead_to_its_digest_is_left_alone():
    held = make_publications()
    part = messages.DocumentText("a", "x")
    delta = messages.RevisionDelta(TOPIC, -1, b"", 4, b"0" * 16, (part,), ())
    held.answer(messages.RelayMessage((), (delta,)))
    assert held.version(TOPIC) == documents.NO_VERSION


def test_a_rejected_revision_is_not_sent_again():
    here, there = (
        make_publications(),
        publications.Publications([documents.Replica(TOPIC, lambda document: None)]),
    )
    there.offer(TOPIC, documents.make_document(7, {"a": "bad"}))
    assert reconcile(here, there)[1].deltas
    assert not reconcile(here, there)[1].deltas


# ---------------------------------------------------------------------------
#   Topology
# ---------------------------------------------------------------------------


def fleet(count, zones=4):
    return [
        table.Endpoint(
            f"e-{number}",
            "s",
            f"r{number % zones // 2}",
            f"z{number % zones}",
            "127.0.0.1",
            1,
            table.EndpointState.LIVE,
        )
        for number in range(count)
    ]


def location_of(endpoint):
    return topology.Location(endpoint.endpoint_id, endpoint.region, endpoint.zone)


@pytest.mark.parametrize("count", [4, 10, 60, 240])
def test_readers_and_neighbours_are_bounded_and_reach_everyone(count):
    endpoints = fleet(count)
    readers = [e for e in endpoints if topology.is_reader(location_of(e), endpoints)]
    assert len(readers) == min(count, 4 * topology.READERS_PER_ZONE)
    heard = {readers[0].endpoint_id}
    by_id = {e.endpoint_id: e for e in endpoints}
    pending = list(heard)
    links = 0
    while pending:
        near = topology.neighbours(location_of(by_id[pending.pop()]), endpoints)
        assert len(near) <= 5
        links += len(near)
        new = {e.endpoint_id for e in near} - heard
        heard |= new
        pending.extend(new)
    in_region = {e.endpoint_id for e in endpoints if e.region == readers[0].region}
    assert in_region <= heard


@pytest.mark.parametrize("seed", range(10))
def test_lists_that_differ_change_the_paths_only(seed):
    rng = random.Random(seed)
    endpoints = fleet(40)
    held = {e.endpoint_id: make_publications() for e in endpoints}
    near = {}
    for endpoint in endpoints:
        known = [e for e in endpoints if rng.random() < 0.8]
        near[endpoint.endpoint_id] = topology.neighbours(location_of(endpoint), known)
    held["e-0"].offer(TOPIC, documents.make_document(5, {"a": "x"}))
    for _ in range(12):
        for endpoint_id, others in near.items():
            for other in others:
                reconcile(held[endpoint_id], held[other.endpoint_id])
    assert {h.version(TOPIC).revision for h in held.values()} == {5}


@pytest.mark.parametrize(
    ("has_list", "is_reader", "last_answer_at", "reads"),
    [
        (False, False, 100.0, True),
        (True, True, 0.0, True),
        (True, False, 99.0, False),
        (True, False, 10.0, True),
    ],
)
def test_who_reads_the_store(has_list, is_reader, last_answer_at, reads):
    schedule = reader.choose_schedule(has_list, is_reader, last_answer_at, 100.0)
    assert schedule.reads is reads


def test_news_never_waits_behind_a_neighbour_that_is_not_connected():
    endpoints = fleet(4)
    links = [relay.Link(endpoint) for endpoint in endpoints]
    links[2].channel = object()
    links[3].retry_at = 20.0
    chosen = relay.choose_links(links, True, 0, 10.0)
    assert [link.endpoint.endpoint_id for link in chosen] == ["e-2", "e-0", "e-1"]
    alone = [relay.choose_links(links, False, turn, 10.0) for turn in range(3)]
    assert {link.endpoint.endpoint_id for (link,) in alone} == {"e-0", "e-1", "e-2"}


# ---------------------------------------------------------------------------
#   Trust in the store
# ---------------------------------------------------------------------------


def test_a_new_process_waits_for_its_peers_and_then_trusts_the_store():
    held = trust.StoreTrust(0.0)
    assert not held.is_trusted(1.0)
    held.record_comparison(1.1)
    assert held.is_trusted(1.1)


def test_a_process_that_finds_no_peer_trusts_the_store_after_a_while():
    held = trust.StoreTrust(0.0)
    assert held.is_trusted(trust.PEER_WAIT_S)
    assert not held.has_compared


def test_a_process_that_slept_compares_again_whichever_thread_wakes_first():
    held = trust.StoreTrust(0.0)
    held.record_comparison(1.0)
    wake = 1.0 + trust.MAX_ACTIVITY_GAP_S + 0.1
    assert not held.is_trusted(wake)
    assert held.is_trusted(wake + trust.PEER_WAIT_S)


# ---------------------------------------------------------------------------
#   Real daemons
# ---------------------------------------------------------------------------


def files(share):
    ranks = {"lookup": {"order": 0, "idempotent": True}}
    return {
        "10.json": json.dumps({"services": {"s": {"share": share, "ranks": ranks}}})
    }


PLAN = plans.DeploymentPlan(
    name="relay",
    regions=("east", "west"),
    zones_per_region=1,
    services=(plans.ServicePlan("s", 4, 5.0),),
    store_region="east",
    files=files(0.5),
)


@pytest.fixture
def running():
    with deployment.Deployment(PLAN) as started:
        yield started


def revisions(running):
    return {
        running.dump(instance)["configuration_revision"]
        for instance in running.instances_by_id.values()
    }


def await_revisions(running, wanted):
    deadline = time.monotonic() + LIVENESS_S
    while revisions(running) != {wanted}:
        assert time.monotonic() < deadline, revisions(running)
        time.sleep(0.05)


def restart(running, endpoint_id):
    instance = running.instances_by_id[endpoint_id]
    instance.daemon.kill()
    instance.daemon.wait()
    running.start_daemon(instance)
    running.await_ready(instance, time.monotonic() + LIVENESS_S)
    return running.dump(instance)["configuration_revision"]


def test_a_rejected_revision_is_followed_by_a_good_one(running):
    running.control_platform(files=files(7), revision=2)
    running.control_platform(files=files(0.7), revision=3)
    await_revisions(running, 3)


def test_no_daemon_goes_back_with_a_store_that_serves_an_older_revision(running):
    running.control_platform(files=files(0.9), revision=9)
    await_revisions(running, 9)
    running.control_platform(files=files(0.5), revision=1)
    assert restart(running, "s-0") == 9
    assert revisions(running) == {9}
    running.control_platform(files=files(0.6), revision=10)
    await_revisions(running, 10)


def test_a_daemon_that_starts_without_the_store_learns_from_its_peers(running):
    running.control_platform(files=files(0.9), revision=9)
    await_revisions(running, 9)
    running.control_platform(down=True)
    assert restart(running, "s-1") == 9


def by_region(running):
    found = {}
    for instance in running.instances_by_id.values():
        revision = running.dump(instance)["configuration_revision"]
        found.setdefault(instance.region, set()).add(revision)
    return found


def test_regions_that_were_parted_agree_again(running):
    running.control_link(cut=True)
    running.control_platform(files=files(0.8), revision=5)
    deadline = time.monotonic() + LIVENESS_S
    while by_region(running)["east"] != {5}:
        assert time.monotonic() < deadline, by_region(running)
        time.sleep(0.05)
    assert by_region(running)["west"] == {1}
    running.control_link(cut=False)
    await_revisions(running, 5)


def test_a_daemon_that_was_paused_learns_what_it_missed(running):
    paused = running.instances_by_id["s-0"].daemon
    paused.send_signal(signal.SIGSTOP)
    running.control_platform(files=files(0.8), revision=5)
    time.sleep(trust.MAX_ACTIVITY_GAP_S + 0.5)
    running.control_platform(files=files(0.5), revision=1)
    paused.send_signal(signal.SIGCONT)
    await_revisions(running, 5)
