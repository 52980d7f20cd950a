import json
import os
import pathlib
import re
import subprocess
import sys

import pytest
import urllib3

from emulator import deployment, plans
from savoryhollow.daemon import dump
from savoryhollow.front import parsing, responses
from savoryhollow.observe import metrics
from savoryhollow.settings import loading

ROOT = pathlib.Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
COMMANDS = re.compile(r"^```sh run\n(.*?)^```$", re.MULTILINE | re.DOTALL)
LINKS = re.compile(r"\]\(([^)#]+)[^)]*\)")
FOLDER = ROOT / "examples" / "configuration"
PLAN = plans.DeploymentPlan(
    name="small",
    regions=("east",),
    zones_per_region=1,
    services=(plans.ServicePlan("dispatch", 2, 5.0),),
    store_region="east",
    files={path.name: path.read_text() for path in FOLDER.glob("*.json")},
)
# Timeout of one command, in s.
COMMAND_TIMEOUT_S = 60


def list_commands():
    for page in PAGES:
        for block in COMMANDS.findall(page.read_text()):
            for line in block.replace("\\\n", "").splitlines():
                yield f"{page.relative_to(ROOT)}: {line}", line


COMMANDS_BY_NAME = dict(list_commands())


@pytest.fixture(scope="module")
def running():
    with deployment.Deployment(PLAN) as started:
        yield started


@pytest.fixture(scope="module")
def environment(running):
    first, second = running.instances_by_id.values()
    headers = {"Savoryhollow-Service": "dispatch", "Savoryhollow-Rank": "lookup"}
    response = urllib3.request("GET", running.front_url(first) + "/", headers=headers)
    binaries = pathlib.Path(sys.executable).parent
    return os.environ | {
        "PATH": f"{binaries}:{os.environ['PATH']}",
        "OPERATOR": running.operator_address(first),
        "OTHER": running.operator_address(second),
        "REQUEST_ID": response.headers["Savoryhollow-Request-Id"],
    }


@pytest.mark.parametrize("name", COMMANDS_BY_NAME)
def test_a_command_in_the_pages_runs(name, environment):
    completed = subprocess.run(
        ["bash", "-eu", "-o", "pipefail", "-c", COMMANDS_BY_NAME[name]],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout


def test_the_target_of_every_link_exists():
    for page in PAGES:
        for link in LINKS.findall(page.read_text()):
            if "://" not in link:
                assert (page.parent / link).exists(), f"{page.name}: {link}"


def test_every_page_for_operators_is_in_the_index():
    index = (ROOT / "docs" / "OPERATIONS.md").read_text()
    for page in (ROOT / "docs" / "operations").glob("*.md"):
        assert f"(operations/{page.name})" in index, page.name


def test_make_targets_in_the_pages_exist():
    makefile = (ROOT / "Makefile").read_text()
    for page in PAGES:
        for target in re.findall(r"^    make (\w+)$", page.read_text(), re.MULTILINE):
            assert f"\n{target}:" in makefile, f"{page.name}: {target}"


def test_the_developers_page_has_every_package():
    page = (ROOT / "docs" / "DEVELOPERS.md").read_text()
    for path in (ROOT / "src" / "savoryhollow").glob("*/__init__.py"):
        assert f"`{path.parent.name}`" in page, path.parent.name


def test_the_readme_has_every_header_and_no_other():
    text = (ROOT / "README.md").read_text()
    documented = set(re.findall(r"`(Savoryhollow-[A-Za-z-]*[a-z])`", text))
    response_headers = {responses.OUTCOME, responses.REQUEST_ID, responses.ENDPOINT}
    assert documented == parsing.KNOWN_HEADERS | response_headers | {responses.TICKET}


def test_the_pages_have_every_key_of_a_dump_and_every_metric(running):
    instance = running.instances_by_id["dispatch-0"]
    state = running.dump(instance)
    assert state["version"] == dump.DUMP_VERSION
    page = (ROOT / "docs" / "operations" / "reading-a-dump.md").read_text()
    exempt_keys = {
        "endpoint_id",
        "service",
        "region",
        "zone",
        "incarnation",
        "placement",
    }
    for key in state.keys() - exempt_keys - {"placements"}:
        assert f"`{key}`" in page, key
    page = (ROOT / "docs" / "operations" / "metrics.md").read_text()
    url = f"http://{running.operator_address(instance)}/metrics"
    metrics_text = urllib3.request("GET", url).data.decode()
    exported = set(re.findall(r"^# TYPE (\w+)", metrics_text, re.MULTILINE))
    documented = set(re.findall(rf"^\| .*`({metrics.PREFIX}\w+)`", page, re.MULTILINE))
    documented |= set(re.findall(rf"`({metrics.PREFIX}\w+)`", page))
    assert exported <= documented
    assert documented - exported <= {"savoryhollow_evidence_age_seconds"}


def test_the_example_settings_are_accepted():
    settings = loading.load_daemon_settings(ROOT / "examples" / "daemon.json")
    assert settings.service == "dispatch"


def test_a_daemon_imports_nothing_of_the_command_line():
    program = (
        "import json, sys, savoryhollow.daemon.process\n"
        "print(json.dumps(sorted({m.partition('.')[0] for m in sys.modules})))"
    )
    imported = subprocess.check_output([sys.executable, "-c", program], timeout=30)
    assert not {"typer", "rich", "click"} & set(json.loads(imported))
