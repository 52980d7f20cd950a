import json
import sys

import hypothesis
import pytest
from hypothesis import strategies as st

from savoryhollow import errors
from savoryhollow.configuration import acceptance, inspection, merging

BASE = {
    "services": {
        "dispatch": {
            "share": 0.6,
            "ranks": {
                "lookup": {"order": 0, "floor": 0.5, "idempotent": True},
                "booking": {"order": 1},
            },
        }
    }
}
KEYS = st.sampled_from(["services", "a", "b", "share", "ranks", "a.b", ""])
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=3)
    ),
    max_leaves=12,
)
DOCUMENTS = st.dictionaries(KEYS, VALUES, max_size=4)


def files(*documents):
    return {
        f"{number:02}.json": json.dumps(document)
        for number, document in enumerate(documents)
    }


def problems_by_origin(*documents):
    with pytest.raises(errors.ConfigurationError) as caught:
        acceptance.accept(files(*documents))
    return {(p.source, p.path): p for p in caught.value.problems}


# ---------------------------------------------------------------------------
#   Merge
# ---------------------------------------------------------------------------


@hypothesis.given(st.lists(DOCUMENTS, min_size=1, max_size=4), st.data())
def test_the_first_files_can_be_replaced_by_their_merge(documents, data):
    documents = json.loads(json.dumps(documents).replace("NaN", "0"))
    texts = files(*documents)
    try:
        merged = merging.merge(texts)
    except errors.ConfigurationError:
        return
    split = data.draw(st.integers(1, len(documents)))
    head = merging.merge(files(*documents[:split])).document
    rest = {f"9{name}": texts[name] for name in sorted(texts)[split:]}
    merged_again = merging.merge({"00.json": json.dumps(head)} | rest)
    assert merged_again.document == merged.document


def test_objects_merge_lists_replace_and_null_removes():
    merged = merging.merge(
        files(
            {"a": {"x": 1, "y": [1, 2]}, "b": 1, "c": {"z": 1}},
            {"a": {"y": [3]}, "b": None, "c": 4},
        )
    )
    assert merged.document == {"a": {"x": 1, "y": [3]}, "c": 4}
    assert merged.origins_by_path == {
        "a": "00.json",
        "a.x": "00.json",
        "a.y": "01.json",
        "c": "01.json",
    }


# ---------------------------------------------------------------------------
#   Acceptance
# ---------------------------------------------------------------------------


@hypothesis.given(st.lists(DOCUMENTS, max_size=3), st.randoms(use_true_random=False))
def test_the_result_depends_on_the_content_only(documents, random):
    texts = files(BASE, *documents)
    shuffled = list(texts.items())
    random.shuffle(shuffled)
    assert accept_or_reject(texts) == accept_or_reject(dict(shuffled))


@hypothesis.given(
    st.dictionaries(
        st.text(max_size=3),
        st.text(alphabet=st.characters(), max_size=60)
        | st.text(alphabet='{}[]":,0123456789eE.-\\untrefalsNI ', max_size=60)
        | DOCUMENTS.map(json.dumps),
        max_size=3,
    )
)
def test_any_text_is_accepted_or_rejected_without_other_errors(texts):
    accept_or_reject(texts)


@pytest.mark.parametrize(
    "text",
    [
        '{"services": {}, "x": "\ud800"}',
        '{"\\ud800": 1}',
        '{"services": {"\\ud800": {"share": 1e400}}}',
        '{"services": {"a": {"share": ' + "9" * 5000 + "}}}",
        '{"services": {"a": {"share": ' + "9" * 400 + "}}}",
        "[" * 100_000,
        '{"a":' * 900 + "1" + "}" * 900,
        "NaN",
        "",
    ],
)
def test_hostile_text_is_rejected(text):
    assert isinstance(accept_or_reject({"a.json": text}), tuple)


def accept_or_reject(texts):
    try:
        return acceptance.accept(texts)
    except errors.ConfigurationError as error:
        str(error)
        return tuple(error.problems)


@pytest.mark.parametrize(
    ("document", "path", "remedy"),
    [
        ({"budgets": {"link_kbit_per_s": 8}}, "budgets.link_kbit_per_s", "times 125"),
        ({"budgets": {"link_kbit_per_s": 8}}, "budgets.link_kbit_per_s", "link_bytes_"),
        ({"budgets": {"retry_percent": 10}}, "budgets.retry_percent", "retry_ratio"),
        ({"budgets": {"link_bytes_per_s": "9"}}, "budgets.link_bytes_per_s", "quotes"),
        ({"share": 60}, "share", "0.6"),
        ({"share": float("nan")}, None, "valid JSON"),
        ({"shaer": 0.1}, "shaer", "write share"),
        ({"zzzzzz": 0.1}, "zzzzzz", "one of attempts"),
        ({"ranks": {"lookup": {"floor": 0.6}, "booking": {"floor": 0.6}}}, "ranks", ""),
        ({"ranks": {"booking": {"order": 0}}}, "ranks", "order of its own"),
        ({"ranks": {"Look.up": {"order": 7}}}, 'ranks."Look.up"', "matching"),
        ({"attempts": True}, "attempts", "expected int"),
    ],
)
def test_a_problem_names_its_file_path_and_remedy(document, path, remedy):
    problems = problems_by_origin(BASE, {"services": {"dispatch": document}})
    full = f"services.dispatch.{path}" if path else "$"
    problem = problems.get(("01.json", full)) or problems[("00.json", full)]
    assert remedy in problem.remedy


def test_all_problems_of_the_merged_document_are_reported_together():
    second = {"share": 0.7, "ranks": {"a": {"order": "1"}}, "queue": 1}
    problems = problems_by_origin(BASE, {"services": {"records": second}})
    assert set(problems) == {
        ("00.json", "services"),
        ("01.json", "services.records.ranks.a.order"),
        ("01.json", "services.records.queue"),
    }


def test_all_problems_of_the_files_are_reported_together():
    texts = {
        "a.json": '{"services": {"x": {"share": 1, "share": 0}}}',
        "b.json": "{",
        "c.json": '{"services": {}}' + " " * acceptance.MAX_FILE_BYTES,
    }
    with pytest.raises(errors.ConfigurationError) as caught:
        acceptance.accept(texts)
    problems = [(p.source, p.path) for p in caught.value.problems]
    assert problems == [
        ("a.json", "services.x.share"),
        ("b.json", "$"),
        ("c.json", "$"),
    ]


def count_calls_to_accept(services):
    """Count the function calls; unlike a time, the count is the same in each run."""
    ranks = {f"r{n}": {"order": n} for n in range(5)}
    texts = {
        f"{n:04}.json": json.dumps(
            {"services": {f"s{n}": {"share": 0, "ranks": ranks}}}
        )
        for n in range(services)
    }
    count = 0

    def count_call(frame, event, argument):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(count_call)
    try:
        acceptance.accept(texts)
    finally:
        sys.setprofile(None)
    return count


def test_the_work_grows_linearly_with_the_size_of_the_folder():
    assert count_calls_to_accept(160) < 5 * count_calls_to_accept(40)


# ---------------------------------------------------------------------------
#   Inspection
# ---------------------------------------------------------------------------


def test_check_names_the_file_of_every_value():
    refined = {"services": {"dispatch": {"share": 0.5}}}
    settings = {s.path: s for s in inspection.check(files(BASE, refined))}
    assert settings["services.dispatch.share"].origin == "01.json"
    assert settings["services.dispatch.ranks.lookup.order"].origin == "00.json"
    assert settings["services.dispatch.attempts"].origin == "default"


def test_diff_shows_a_default_that_replaces_a_removed_value():
    old = {"services": {"dispatch": {"attempts": 5}}}
    new = {"services": {"dispatch": {"attempts": None, "share": 0.6}}}
    changes = inspection.diff(files(BASE, old), files(BASE, new))
    assert [(c.path, c.old.value, c.new.value) for c in changes] == [
        ("services.dispatch.attempts", 5, 3)
    ]
    assert changes[0].new.origin == "default"


def test_explain_lists_what_each_file_does():
    texts = files(
        BASE,
        {"services": {"records": {"share": 0.2, "ranks": {"a": {"order": 0}}}}},
        {"services": {"records": None}},
        {"services": {"records": {"share": 0.1, "ranks": {"a": {"order": 0}}}}},
    )
    explanation = inspection.explain(texts, "services.records.share")
    assert [(s.source, s.kind.value, s.at) for s in explanation.steps] == [
        ("01.json", "sets", "services.records.share"),
        ("02.json", "removes", "services.records"),
        ("03.json", "sets", "services.records.share"),
    ]
    assert [(s.value, s.origin) for s in explanation.settings] == [(0.1, "03.json")]
    with pytest.raises(errors.ConfigurationError, match="list the paths"):
        inspection.explain(texts, "services.none")
