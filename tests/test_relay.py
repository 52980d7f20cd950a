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
# Timeout for a condition on real daemons, in s.
TIMEOUT_S = 20.0


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
#   Revisions only increase
# ---------------------------------------------------------------------------


@hypothesis.given(st.lists(DOCUMENTS, max_size=12), st.randoms(use_true_random=False))
def test_any_order_of_arrival_ends_with_the_newest_valid_document(offered, rng):
    good = [
        candidate
        for candidate in offered
        if "bad" not in candidate.texts_by_name.values()
    ]
    newest = max(
        (candidate.version for candidate in good), default=documents.NO_VERSION
    )
    for _ in range(3):
        receiver = make_publications()
        seen = []
        for document in offered:
            receiver.offer(TOPIC, document)
            seen.append(receiver.version(TOPIC))
        assert receiver.version(TOPIC) == newest
        assert seen == sorted(seen)
        rng.shuffle(offered)


def test_a_valid_revision_below_a_rejected_one_is_applied():
    receiver = make_publications()
    receiver.offer(TOPIC, documents.make_document(12, {"a": "bad"}))
    assert receiver.offer(TOPIC, documents.make_document(11, {"a": "x"}))
    assert receiver.offer(TOPIC, documents.make_document(13, {"a": "y"}))
    assert receiver.version(TOPIC).revision == 13


# ---------------------------------------------------------------------------
#   Comparison
# ---------------------------------------------------------------------------


def over_the_wire(message):
    return codec.decode(codec.encode(message))


def reconcile(here, there):
    """Run the exchange of the relay between two processes and return the messages."""
    asked = over_the_wire(messages.CompareMessage(here.versions()))
    answer = over_the_wire(there.answer(asked))
    here.apply(answer)
    update = over_the_wire(here.compare(answer.versions))
    if update.deltas:
        there.answer(update)
    return [asked, answer, update]


@hypothesis.given(st.lists(DOCUMENTS, max_size=6), st.lists(DOCUMENTS, max_size=6))
def test_a_comparison_updates_both_sides_to_the_newer_document(local, remote):
    here, there = make_publications(), make_publications()
    for side, offered in ((here, local), (there, remote)):
        for document in offered:
            side.offer(TOPIC, document)
    newer = max(here.version(TOPIC), there.version(TOPIC))
    reconcile(here, there)
    assert here.version(TOPIC) == there.version(TOPIC) == newer


def test_only_changes_are_sent():
    here, there = make_publications(), make_publications()
    texts = {f"{number:03}.json": "x" * 300 for number in range(340)}
    here.offer(TOPIC, documents.make_document(1, texts))
    reconcile(there, here)
    here.offer(TOPIC, documents.make_document(2, texts | {"001.json": "y"}))
    shorter = {name: text for name, text in texts.items() if name != "002.json"}
    here.offer(TOPIC, documents.make_document(3, shorter))
    exchanged = reconcile(here, there)
    assert there.version(TOPIC) == here.version(TOPIC)
    assert sum(len(codec.encode(message)) for message in exchanged) < 1200


def test_a_delta_with_a_wrong_digest_is_ignored():
    receiver = make_publications()
    part = messages.DocumentText("a", "x")
    delta = messages.RevisionDelta(TOPIC, -1, b"", 4, b"0" * 16, (part,), ())
    receiver.answer(messages.RelayMessage((), (delta,)))
    assert receiver.version(TOPIC) == documents.NO_VERSION


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


def make_endpoints(count, zones=4):
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
def test_readers_and_neighbours_are_bounded_and_reach_all_daemons(count):
    endpoints = make_endpoints(count)
    readers = [e for e in endpoints if topology.is_reader(location_of(e), endpoints)]
    assert len(readers) == min(count, 4 * topology.READERS_PER_ZONE)
    reached_ids = {readers[0].endpoint_id}
    by_id = {e.endpoint_id: e for e in endpoints}
    pending = list(reached_ids)
    links = 0
    while pending:
        neighbour_list = topology.neighbours(
            location_of(by_id[pending.pop()]), endpoints
        )
        assert len(neighbour_list) <= 5
        links += len(neighbour_list)
        new_ids = {e.endpoint_id for e in neighbour_list} - reached_ids
        reached_ids |= new_ids
        pending.extend(new_ids)
    in_region = {e.endpoint_id for e in endpoints if e.region == readers[0].region}
    assert in_region <= reached_ids


@pytest.mark.parametrize("seed", range(10))
def test_documents_reach_all_daemons_despite_different_lists(seed):
    rng = random.Random(seed)
    endpoints = make_endpoints(40)
    publications_by_id = {e.endpoint_id: make_publications() for e in endpoints}
    neighbours_by_id = {}
    for endpoint in endpoints:
        known = [e for e in endpoints if rng.random() < 0.8]
        neighbours_by_id[endpoint.endpoint_id] = topology.neighbours(
            location_of(endpoint), known
        )
    publications_by_id["e-0"].offer(TOPIC, documents.make_document(5, {"a": "x"}))
    for _ in range(12):
        for endpoint_id, others in neighbours_by_id.items():
            for other in others:
                reconcile(
                    publications_by_id[endpoint_id],
                    publications_by_id[other.endpoint_id],
                )
    assert {held.version(TOPIC).revision for held in publications_by_id.values()} == {5}


@pytest.mark.parametrize(
    ("has_list", "is_reader", "last_answer_at", "reads"),
    [
        (False, False, 100.0, True),
        (True, True, 0.0, True),
        (True, False, 99.0, False),
        (True, False, 10.0, True),
    ],
)
def test_readers_and_isolated_daemons_read_the_store(
    has_list, is_reader, last_answer_at, reads
):
    schedule = reader.choose_schedule(has_list, is_reader, last_answer_at, 100.0)
    assert schedule.reads is reads


def test_connected_neighbours_are_compared_with_first():
    endpoints = make_endpoints(4)
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


def test_a_new_process_trusts_the_store_after_a_comparison():
    store_trust = trust.StoreTrust(0.0)
    assert not store_trust.is_trusted(1.0)
    store_trust.record_comparison(1.1)
    assert store_trust.is_trusted(1.1)


def test_a_process_without_peers_trusts_the_store_after_a_wait():
    store_trust = trust.StoreTrust(0.0)
    assert store_trust.is_trusted(trust.PEER_WAIT_S)
    assert not store_trust.has_compared


def test_a_process_compares_again_after_a_suspension():
    """The suspension is detected by whichever thread runs first afterwards."""
    store_trust = trust.StoreTrust(0.0)
    store_trust.record_comparison(1.0)
    wakes_at = 1.0 + trust.MAX_ACTIVITY_GAP_S + 0.1
    assert not store_trust.is_trusted(wakes_at)
    assert store_trust.is_trusted(wakes_at + trust.PEER_WAIT_S)


# ---------------------------------------------------------------------------
#   Real daemons
# ---------------------------------------------------------------------------


def make_files(share):
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
    files=make_files(0.5),
)


@pytest.fixture
def running_deployment():
    with deployment.Deployment(PLAN) as started:
        yield started


def read_revisions(running_deployment):
    return {
        running_deployment.dump(instance)["configuration_revision"]
        for instance in running_deployment.instances_by_id.values()
    }


def await_revisions(running_deployment, expected):
    deadline = time.monotonic() + TIMEOUT_S
    while read_revisions(running_deployment) != {expected}:
        assert time.monotonic() < deadline, read_revisions(running_deployment)
        time.sleep(0.05)


def restart(running_deployment, endpoint_id):
    instance = running_deployment.instances_by_id[endpoint_id]
    instance.daemon.kill()
    instance.daemon.wait()
    running_deployment.start_daemon(instance)
    running_deployment.await_ready(instance, time.monotonic() + TIMEOUT_S)
    return running_deployment.dump(instance)["configuration_revision"]


def test_a_valid_revision_is_applied_after_a_rejected_one(running_deployment):
    running_deployment.control_platform(files=make_files(7), revision=2)
    running_deployment.control_platform(files=make_files(0.7), revision=3)
    await_revisions(running_deployment, 3)


def test_no_daemon_applies_an_older_revision_served_by_the_store(running_deployment):
    running_deployment.control_platform(files=make_files(0.9), revision=9)
    await_revisions(running_deployment, 9)
    running_deployment.control_platform(files=make_files(0.5), revision=1)
    assert restart(running_deployment, "s-0") == 9
    assert read_revisions(running_deployment) == {9}
    running_deployment.control_platform(files=make_files(0.6), revision=10)
    await_revisions(running_deployment, 10)


def test_a_daemon_that_starts_without_the_store_gets_documents_from_peers(
    running_deployment,
):
    running_deployment.control_platform(files=make_files(0.9), revision=9)
    await_revisions(running_deployment, 9)
    running_deployment.control_platform(down=True)
    assert restart(running_deployment, "s-1") == 9


def read_revisions_by_region(running_deployment):
    revisions_by_region = {}
    for instance in running_deployment.instances_by_id.values():
        revision = running_deployment.dump(instance)["configuration_revision"]
        revisions_by_region.setdefault(instance.region, set()).add(revision)
    return revisions_by_region


def test_regions_converge_after_a_network_partition(running_deployment):
    running_deployment.control_link(cut=True)
    running_deployment.control_platform(files=make_files(0.8), revision=5)
    deadline = time.monotonic() + TIMEOUT_S
    while read_revisions_by_region(running_deployment)["east"] != {5}:
        assert time.monotonic() < deadline, read_revisions_by_region(running_deployment)
        time.sleep(0.05)
    assert read_revisions_by_region(running_deployment)["west"] == {1}
    running_deployment.control_link(cut=False)
    await_revisions(running_deployment, 5)


def test_a_suspended_daemon_receives_missed_updates(running_deployment):
    paused = running_deployment.instances_by_id["s-0"].daemon
    paused.send_signal(signal.SIGSTOP)
    running_deployment.control_platform(files=make_files(0.8), revision=5)
    time.sleep(trust.MAX_ACTIVITY_GAP_S + 0.5)
    running_deployment.control_platform(files=make_files(0.5), revision=1)
    paused.send_signal(signal.SIGCONT)
    await_revisions(running_deployment, 5)
