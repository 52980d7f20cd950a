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


def directory_of(*endpoints):
    members = directory.Directory()
    for entry in endpoints:
        members.put(entry)
    return members


def test_a_removal_takes_effect_at_once():
    members = directory_of(endpoint("a"))
    members.remove("a", 0.0)
    assert members.live_endpoints("dispatch") == []


def test_a_leaving_endpoint_gets_no_new_requests():
    members = directory_of(endpoint("a"), endpoint("b", "10.0.0.2"))
    members.put(endpoint("a", state="leaving", revision=2))
    assert [entry.endpoint_id for entry in members.live_endpoints("dispatch")] == ["b"]


def test_entries_that_expired_in_an_outage_have_time_to_be_renewed():
    members = directory_of(endpoint("a"), endpoint("b", "10.0.0.2"))
    members.mark_source_lost(0.0)
    members.remove("a", 3.0)
    members.mark_source_restored(5.0)
    members.remove("b", 5.1)
    assert members.remove_due(5.0 + RENEWAL_GRACE_S - 0.01) == []
    members.put(endpoint("a", revision=3))
    assert members.remove_due(5.0 + RENEWAL_GRACE_S) == ["b"]
    assert [entry.endpoint_id for entry in members.live_endpoints("dispatch")] == ["a"]


def test_an_entry_has_no_time_to_be_renewed_while_the_source_is_lost_again():
    """A store that returns only briefly must not cost the endpoints that lapsed."""
    members = directory_of(endpoint("a"))
    members.mark_source_lost(0.0)
    members.mark_source_restored(5.0)
    members.remove("a", 5.1)
    members.mark_source_lost(5.5)
    assert members.remove_due(5.0 + RENEWAL_GRACE_S) == []
    members.mark_source_restored(9.0)
    assert members.remove_due(9.0 + RENEWAL_GRACE_S) == ["a"]


def test_a_single_failed_call_does_not_shorten_the_time_to_be_renewed():
    """Calls may still fail now and then after an outage."""
    members = directory_of(endpoint("a"))
    members.mark_source_lost(0.0)
    members.mark_source_restored(5.0)
    members.remove("a", 5.1)
    members.mark_source_lost(5.5)
    members.mark_source_restored(5.6)
    assert members.remove_due(5.0 + RENEWAL_GRACE_S - 0.01) == []
    assert members.remove_due(5.0 + RENEWAL_GRACE_S) == ["a"]


def test_a_short_outage_delays_no_removal():
    members = directory_of(endpoint("a"))
    members.mark_source_lost(0.0)
    members.mark_source_restored(0.1)
    members.remove("a", 0.2)
    assert members.live_endpoints("dispatch") == []


def test_a_newer_entry_of_a_host_replaces_the_older():
    members = directory_of(endpoint("old", revision=5))
    assert members.put(endpoint("new", revision=9))
    assert set(members.endpoints_by_id) == {"new"}
    assert not members.put(endpoint("old", revision=5))
    assert set(members.endpoints_by_id) == {"new"}


def test_the_index_by_host_matches_the_index_by_id():
    members = directory_of(endpoint("a"), endpoint("b", "10.0.0.2"))
    members.put(endpoint("a", "10.0.0.3", revision=2))
    members.put(endpoint("c", "10.0.0.2", revision=3))
    members.remove("a", 0.0)
    by_host = {entry.host: entry for entry in members.endpoints_by_id.values()}
    assert members.endpoints_by_host == by_host
    assert set(by_host) == {"10.0.0.2"}
