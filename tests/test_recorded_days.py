import json

import pytest

from bench import recorded_days

DAY = {
    "G": 0.6,
    "name": "quiet-1",
    "top": 0.5,
    "parts": [["whole day", 0.5, 0.9], ["worst windows", 0.5, 0.4]],
    "prices": [["machines", 100.0, 0.05], ["bytes", 0.1, 0.02]],
    "served": 0.9,
    "refused": 0.01,
    "failed": 0.0,
}


@pytest.fixture
def journal(tmp_path):
    entries = [
        {"id": "a", "cmd": "score", "site": "one", "days": [DAY]},
        {"id": "b", "cmd": "score", "site": "one", "days": [DAY | {"G": 0.7}]},
        {"id": "c", "cmd": "hunt", "site": "one", "days": [DAY]},
        {"id": "d", "cmd": "score", "site": None, "days": None},
    ]
    for number, entry in enumerate(entries):
        (tmp_path / f"{number}.json").write_text(json.dumps(entry))
    return tmp_path


def test_entries_are_grouped_by_site_and_entries_without_days_are_skipped(journal):
    (site,) = recorded_days.read_entries_by_site(journal, "score").items()
    assert site[0] == "one"
    assert [entry.id for entry in site[1]] == ["a", "b"]


def test_the_losses_by_cause_add_up_to_the_loss_of_a_day(journal):
    day = recorded_days.read_entries_by_site(journal, "score")["one"][0].days[0]
    losses = recorded_days.losses_by_cause(day)
    assert list(losses)[0] == "worst windows"
    assert losses["worst windows"] == pytest.approx(0.3)
    assert sum(losses.values()) == pytest.approx(0.5 * 0.1 + 0.5 * 0.6 + 0.07)


def test_the_newest_entry_is_printed_and_all_entries_are_plotted(
    journal, monkeypatch, capsys
):
    plot = journal / "days.svg"
    arguments = ["bench", "--journal", str(journal), "--plot", str(plot)]
    monkeypatch.setattr("sys.argv", arguments)
    assert recorded_days.main() == 0
    printed = capsys.readouterr().out
    assert "one, b" in printed and "one, a" not in printed
    assert "worth 0.700" in printed
    assert "<svg" in plot.read_text()
