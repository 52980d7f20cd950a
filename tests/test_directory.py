from savoryhollow.membership import directory, table

RENEWAL_GRACE_S = directory.RENEWAL_GRACE_S


def endpoint(name, host="10.0.0.1", revision=1, state="live", service="dispatch"):
    return directory.KnownEndpoint(
        name,
        service,
        "east",
        "east-a",
        host,
        7,
        table.EndpointState(state),
        9,
        revision,
    )


def known(*endpoints):
    members = directory.Directory()
    for one in endpoints:
        members.put(one)
    return members


def test_an_entry_that_is_removed_is_gone_at_once():
    members = known(endpoint("a"))
    members.remove("a", 0.0)
    assert members.live_endpoints("dispatch") == []


def test_an_endpoint_that_leaves_takes_no_new_work():
    members = known(endpoint("a"), endpoint("b", "10.0.0.2"))
    members.put(endpoint("a", state="leaving", revision=2))
    assert [one.endpoint_id for one in members.live_endpoints("dispatch")] == ["b"]


def test_entries_that_lapsed_in_an_outage_have_time_to_come_back():
    members = known(endpoint("a"), endpoint("b", "10.0.0.2"))
    members.mark_source_lost(0.0)
    members.remove("a", 3.0)
    members.mark_source_restored(5.0)
    members.remove("b", 5.1)
    assert members.remove_due(5.0 + RENEWAL_GRACE_S - 0.01) == []
    members.put(endpoint("a", revision=3))
    assert members.remove_due(5.0 + RENEWAL_GRACE_S) == ["b"]
    assert [one.endpoint_id for one in members.live_endpoints("dispatch")] == ["a"]


def test_a_call_that_failed_once_delays_no_removal():
    members = known(endpoint("a"))
    members.mark_source_lost(0.0)
    members.mark_source_restored(0.1)
    members.remove("a", 0.2)
    assert members.live_endpoints("dispatch") == []


def test_a_newer_entry_of_a_host_takes_the_place_of_the_older():
    members = known(endpoint("old", revision=5))
    assert members.put(endpoint("new", revision=9))
    assert set(members.endpoints_by_id) == {"new"}
    assert not members.put(endpoint("old", revision=5))
    assert set(members.endpoints_by_id) == {"new"}


def test_the_index_by_host_keeps_up_with_every_change():
    members = known(endpoint("a"), endpoint("b", "10.0.0.2"))
    members.put(endpoint("a", "10.0.0.3", revision=2))
    members.put(endpoint("c", "10.0.0.2", revision=3))
    members.remove("a", 0.0)
    by_host = {one.host: one for one in members.endpoints_by_id.values()}
    assert members.endpoints_by_host == by_host
    assert set(by_host) == {"10.0.0.2"}
