"""Guards configuration changes against races, lost answers and outages."""

import io
import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase
from twisted.web.resource import Resource
from twisted.web.server import Site

from radishtray_ctl._arguments import COMMANDS, build_parser
from radishtray_ctl.main import run_command
from radishtray_protocol import (
    RELEASE_OBJECT,
    Release,
    decode_release,
    next_release,
    section_digest,
    section_object_name,
)
from radishtray_testing.platform_standin import Faults, PlatformStandin

EXAMPLES = Path(__file__).parents[4] / "examples"
TEAMS = ("alfa", "beta", "gama")


def section(name: str, deadline_ms: int = 1) -> str:
    return (
        f"format: 1\nservices:\n  {name}:\n    owner: {name}\n    kinds:\n"
        f"      k: {{method: GET, path: /k, deadline_ms: {deadline_ms}}}\n"
    )


class RacingStandin(PlatformStandin):
    """Runs one hook at the first write of the release.

    A hook returns whether the write goes on.
    """

    hook: Callable[[Any], bool] | None = None

    def _write(self, request: Any, name: str) -> None:
        hook = self.hook
        if name == RELEASE_OBJECT and hook is not None:
            self.hook = None
            if not hook(request):
                request.transport.abortConnection()
                return
        super()._write(request, name)

    @property
    def release(self) -> Release:
        return decode_release(self.objects[RELEASE_OBJECT]).ok

    def store(self, name: str, value: bytes) -> None:
        self._last_version += 1
        self._objects[name] = (self._last_version, value)

    def rival_change(self, name: str, deadline_ms: int) -> None:
        """Changes one section as another team does."""
        text = section(name, deadline_ms)
        digest = section_digest(text)
        current = self.release if RELEASE_OBJECT in self._objects else None
        self.store(section_object_name(name, digest), text.encode())
        release = next_release(
            current,
            {name: digest},
            change_id=f"rival-{name}-{deadline_ms}",
            author="rival",
            time_ms=1,
        )
        self.store(RELEASE_OBJECT, release.encode())

    # Hooks of the cases below.

    def race_other(self, _: Any) -> bool:
        self.rival_change("beta", 77)
        return True

    def race_same(self, _: Any) -> bool:
        self.rival_change("alfa", 77)
        return True

    def lose_answer(self, _: Any) -> bool:
        self.faults.lose_next_answers = 1
        return True

    def lose_answer_then_race(self, request: Any) -> bool:
        self.store(RELEASE_OBJECT, request.content.read())
        self.rival_change("beta", 77)
        return False

    def lose_request(self, _: Any) -> bool:
        return False

    def lose_request_then_race(self, _: Any) -> bool:
        self.rival_change("alfa", 77)
        return False

    def delay_effect(self, request: Any) -> bool:
        value = request.content.read()

        def take_effect(_: Any) -> bool:
            self.store(RELEASE_OBJECT, value)
            return True

        self.hook = take_effect
        return False

    def begin_outage(self, _: Any) -> bool:
        self.faults.outage = True
        return False


# Name: (hook, faults at the start, further arguments, exit code, error or
# None, generation afterwards, deadlines of alfa and beta afterwards).
Case = tuple[str, dict[str, Any], list[str], int, str | None, int, tuple]
CASES: dict[str, Case] = {
    "no_fault": ("", {}, [], 0, None, 4, (9, 1)),
    "race_other": ("race_other", {}, [], 0, None, 5, (9, 77)),
    "race_same": ("race_same", {}, [], 1, "conflict", 4, (77, 1)),
    "answer_lost": ("lose_answer", {}, [], 0, None, 4, (9, 1)),
    "answer_lost_then_race": (
        "lose_answer_then_race", {}, [], 0, None, 5, (9, 77),
    ),
    "request_lost": ("lose_request", {}, [], 0, None, 4, (9, 1)),
    "request_lost_then_race": (
        "lose_request_then_race", {}, [], 1, "conflict", 4, (77, 1),
    ),
    "late_effect": ("delay_effect", {}, [], 0, None, 4, (9, 1)),
    "section_answers_lost": (
        "", {"lose_next_answers": 2}, [], 0, None, 4, (9, 1),
    ),
    "down": ("", {"outage": True}, [], 3, "unreachable", 3, (1, 1)),
    "refusing": ("", {"refuse": True}, [], 3, "unreachable", 3, (1, 1)),
    "down_at_update": (
        "begin_outage", {}, [], 3, "outcome_unknown", 3, (1, 1),
    ),
    "expected": ("", {}, ["--expect-generation", "3"], 0, None, 4, (9, 1)),
    "not_expected": (
        "", {}, ["--expect-generation", "2"], 1, "generation", 3, (1, 1),
    ),
    "race_when_expected": (
        "race_other", {}, ["--expect-generation", "3"], 1, "generation", 4,
        (1, 77),
    ),
    "base_unchanged": ("", {}, ["--base-generation", "1"], 0, None, 4, (9, 1)),
    "base_changed": (
        "", {}, ["--base-generation", "0"], 1, "conflict", 3, (1, 1),
    ),
    "absent_section": (
        "", {}, ["--section", "nada"], 1, "unknown_section", 3, (1, 1),
    ),
}  # fmt: skip


class CtlTest(TestCase):
    def setUp(self) -> None:
        self.standin = RacingStandin(reactor)
        self.address = self.listen(self.standin)
        self.addCleanup(self.standin.close)
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def listen(self, root: Resource) -> str:
        port = reactor.listenTCP(0, Site(root), interface="127.0.0.1")
        self.addCleanup(deferLater, reactor, 0.02)
        self.addCleanup(port.stopListening)
        return f"127.0.0.1:{port.getHost().port}"

    async def ctl(self, *words: str) -> tuple[int, dict[str, Any]]:
        """Runs a command in this process; returns its code and JSON."""
        output = io.StringIO()
        options = build_parser().parse_args([*words, "--json"])
        environment = {
            "RADISHTRAY_PLATFORM": f"http://{self.address}",
            "RADISHTRAY_TIMEOUT_S": "60",
            "RADISHTRAY_NODE": self.address,
            "RADISHTRAY_OPERATOR_TOKEN": "secret",
            "RADISHTRAY_AUTHOR": "yo",
        }
        code = await run_command(options, reactor, environment, output)
        return code, json.loads(output.getvalue())

    def write(self, name: str, *texts: str) -> str:
        path = self.directory / name
        path.write_text("".join(texts), encoding="utf-8")
        return str(path)

    def start(self) -> None:
        """Puts generations 1 to 3 into effect, one for each team."""
        self.standin._objects.clear()
        for name in TEAMS:
            self.standin.rival_change(name, 1)

    def deadlines(self, *names: str) -> tuple[int, ...]:
        release = self.standin.release
        texts = [
            self.standin.objects[section_object_name(n, release.sections[n])]
            for n in names
        ]
        return tuple(
            int(text.split(b"deadline_ms: ")[1].split(b"}")[0])
            for text in texts
        )

    async def test_apply_cases(self) -> None:
        path = self.write("alfa.yaml", section("alfa", 9))
        for name, case in CASES.items():
            hook, faults, words, exit_code, error, generation, after = case
            self.start()
            self.standin.faults = Faults(**faults)
            self.standin.hook = getattr(self.standin, hook) if hook else None
            code, shown = await self.ctl("config", "apply", path, *words)
            self.assertEqual(code, exit_code, (name, shown))
            self.assertEqual(shown.get("error"), error, name)
            release = self.standin.release
            self.assertEqual(release.generation, generation, name)
            self.assertEqual(self.deadlines("alfa", "beta"), after, name)
            mine = [c for c in release.history if c.author == "yo"]
            self.assertEqual(len(mine), int(error is None), name)
            if error == "conflict":
                conflict = shown["conflicts"][0]
                self.assertEqual(conflict["section"], "alfa")
                self.assertEqual(conflict["author"], "rival")
                last = release.last_change("alfa")
                self.assertEqual(conflict["generation"], last.generation)

    async def test_racing_teams_all_succeed_and_nothing_reverts(self) -> None:
        self.start()

        async def team(name: str) -> None:
            for deadline_ms in range(2, 7):
                text = section(name, deadline_ms)
                path = self.write(f"{name}.yaml", text)
                code, shown = await self.ctl("config", "apply", path)
                self.assertEqual(code, 0, shown)
                self.assertEqual(self.deadlines(name), (deadline_ms,))

        await gatherResults(
            [Deferred.fromCoroutine(team(name)) for name in TEAMS]
        )
        release = self.standin.release
        self.assertEqual(release.generation, 3 + 5 * len(TEAMS))
        for name in TEAMS:
            generations = [
                release.sections_at(number).get(name)
                for number in range(1, release.generation + 1)
            ]
            versions = [
                section_digest(section(name, number)) for number in range(1, 7)
            ]
            order = [versions.index(d) for d in generations if d]
            self.assertEqual(order, sorted(order), name)

    async def test_whole_document_leaves_other_teams_versions(self) -> None:
        self.start()
        _, shown = await self.ctl("config", "show")
        parts = [shown["sections"][name] for name in TEAMS]
        bodies = [part.removeprefix("format: 1\nservices:\n") for part in parts]
        self.standin.rival_change("beta", 5)
        document = "".join(["format: 1\nservices:\n", *bodies])
        edited = document.replace("deadline_ms: 1}", "deadline_ms: 3}", 1)
        path = self.write("whole.yaml", edited)
        code, shown = await self.ctl("config", "apply", path)
        self.assertEqual((code, shown["changed"]), (0, ["alfa"]))
        self.assertEqual(shown["left"], ["beta"])
        self.assertEqual(self.deadlines(*TEAMS), (3, 5, 1))

    async def test_shown_file_conflicts_after_a_later_change(self) -> None:
        self.start()
        await self.ctl("config", "show", "--output", str(self.directory))
        path = self.directory / "alfa.yaml"
        shown_text = path.read_text()
        path.write_text(shown_text.replace("deadline_ms: 1", "deadline_ms: 4"))
        code, shown = await self.ctl("config", "plan", str(path))
        self.assertEqual((code, shown["changes"]), (0, {"alfa": "change"}))
        self.standin.rival_change("alfa", 8)
        code, shown = await self.ctl("config", "apply", str(path))
        self.assertEqual((code, shown["error"]), (1, "conflict"))

    async def test_rollback_and_removal_make_new_generations(self) -> None:
        self.start()
        self.standin.rival_change("alfa", 2)
        self.standin.rival_change("beta", 2)
        steps = {
            "rollback 4 --section alfa": (0, 5, (2, 2)),
            "rollback 3 --section alfa": (0, 6, (1, 2)),
            "rollback 5": (0, 7, (2, 2)),
            "rollback 3": (0, 8, (1, 1)),
            "rollback 99": (1, 8, (1, 1)),
            "rollback 3 --section nada": (1, 8, (1, 1)),
        }
        for words, (exit_code, generation, after) in steps.items():
            code, shown = await self.ctl("config", *words.split())
            self.assertEqual(code, exit_code, (words, shown))
            self.assertEqual(self.standin.release.generation, generation)
            self.assertEqual(self.deadlines("alfa", "beta"), after, words)
        path = self.write("alfa.yaml", section("alfa"))
        await self.ctl("config", "apply", path, "--remove", "beta")
        self.assertEqual(
            sorted(self.standin.release.sections), ["alfa", "gama"]
        )
        _, shown = await self.ctl("config", "history", "--section", "beta")
        self.assertEqual(shown["changes"][0]["author"], "yo")
        code, _ = await self.ctl("config", "history", "--change-id", "nada")
        self.assertEqual(code, 1)

    async def test_whole_document_is_checked_before_it_takes_effect(
        self,
    ) -> None:
        self.start()
        text = section("alfa").replace("/k,", "/k, calls: [beta/no],")
        path = self.write("alfa.yaml", "# One more line.\n", text)
        stale = self.write("stale.yaml", section("gama", 3))
        cases = {
            (path,): (path, 7),
            (path, stale, "--section", "alfa"): ("section alfa", 6),
        }
        for words, place in cases.items():
            code, shown = await self.ctl("config", "apply", *words)
            self.assertEqual((code, shown["error"]), (1, "findings"))
            (finding,) = shown["findings"]
            self.assertEqual(finding["key"], "kinds.k.calls")
            self.assertEqual((finding["source"], finding["line"]), place)
        self.assertEqual(self.standin.release.generation, 3)

    async def test_check_reports_each_planted_fault_at_its_place(self) -> None:
        text = (EXAMPLES / "pasaporte-gremlin.yaml").read_text("utf-8")
        planted = {
            "class: low": "class: lowest",
            "deadline_ms: 2000": "deadline_ms: 0",
            "owner: equipo-gafete": "ownr: equipo-gafete",
            "[gafete/validar]": "[gafete/no]",
            "path: /portones\n": "path: portones\n",
        }
        for old, new in planted.items():
            text = text.replace(old, new, 1)
        path = self.write("planted.yaml", text)
        code, shown = await self.ctl("config", "check", path)
        self.assertEqual(code, 1)
        lines = text.splitlines()
        expected = {
            next(i for i, line in enumerate(lines, 1) if new.strip() in line)
            for new in planted.values()
        }
        found = [finding["line"] for finding in shown["findings"]]
        self.assertEqual(found, sorted(expected))
        self.assertEqual({f["source"] for f in shown["findings"]}, {path})

    async def test_check_exit_codes(self) -> None:
        self.write("alfa.yaml", section("alfa"))
        whole = str(EXAMPLES / "fundacion.yaml")
        cases = {
            (whole,): 0,
            (str(EXAMPLES / "pasaporte-gremlin.yaml"),): 0,
            (str(self.directory),): 0,
            (str(self.directory), whole): 0,
            (whole, whole + ".no"): 2,
        }
        for paths, expected in cases.items():
            code, _ = await self.ctl("config", "check", *paths)
            self.assertEqual(code, expected, paths)

    async def test_operator_commands(self) -> None:
        self.address = self.listen(Operators())
        quiet = self.listen(Operators(b'{"unknown_outcomes": []}'))
        nodes = ("--node", self.address, "--node", quiet)
        code, shown = await self.ctl("status", *nodes)
        outcomes = [
            node["status"]["unknown_outcomes"] for node in shown["nodes"]
        ]
        self.assertEqual((code, outcomes), (1, [[{"key": "k"}], []]))
        self.assertEqual((shown["ok"], len(shown["findings"])), (False, 1))
        code, shown = await self.ctl("status", "--node", quiet)
        self.assertEqual((code, shown["ok"], shown["findings"]), (0, True, []))
        code, shown = await self.ctl("drain")
        self.assertEqual((code, shown["draining"]), (0, True))
        code, _ = await self.ctl("status", "--operator-token", "wrong")
        self.assertEqual(code, 1)
        code, shown = await self.ctl("status", *nodes, "--node", "127.0.0.1:1")
        self.assertEqual((code, len(shown["findings"])), (3, 2))
        self.assertEqual(shown["nodes"][2]["error"], "unreachable")


class Operators(Resource):
    """A node's operators' API."""

    isLeaf = True

    def __init__(
        self, status: bytes = b'{"unknown_outcomes": [{"key": "k"}]}'
    ) -> None:
        Resource.__init__(self)
        self._status = status

    def render(self, request: Any) -> bytes:
        if request.getHeader("authorization") != "Bearer secret":
            request.setResponseCode(401)
            return b""
        shown = {
            (b"GET", b"/status"): self._status,
            (b"POST", b"/drain"): b'{"draining": true}',
        }
        return shown[request.method, request.path]


@pytest.mark.parametrize(
    "words",
    [[], ["config"], ["config", "apply"], ["config", "rollback", "-1"], ["x"]],
    ids=str,
)
def test_faulty_command_lines_exit_with_2(words: list[str]) -> None:
    with pytest.raises(SystemExit) as caught:
        build_parser().parse_args(words)
    assert caught.value.code == 2


@pytest.mark.parametrize(
    ("words", "exit_code"),
    [
        (["config", "check", str(EXAMPLES)], 1),  # Two documents in one.
        (["config", "check", str(EXAMPLES / "fundacion.yaml")], 0),
        (["config", "show"], 2),
        (["config", "show", "--platform", "http://127.0.0.1:1"], 3),
        (["status", "--node", "127.0.0.1:1", "--operator-token", "é"], 2),
        (["status", "--node", "127.0.0.1:1", "--node", "nowhere"], 2),
    ],
    ids=str,
)
def test_program_ends_with_the_exit_code(
    words: list[str], exit_code: int
) -> None:
    command = [sys.executable, "-m", "radishtray_ctl.main", *words]
    environment = {"PATH": os.environ["PATH"], "LANG": "C.UTF-8"}
    done = subprocess.run(
        command, env=environment, capture_output=True, check=False
    )
    assert done.returncode == exit_code, done.stderr
    assert b"Traceback" not in done.stderr


def test_every_command_and_setting_is_documented() -> None:
    page = (EXAMPLES.parent / "docs" / "cli.md").read_text("utf-8")
    for entry in COMMANDS.values():
        assert f"| `{entry.name}" in page, entry.name
        for setting in entry.settings:
            row = f"| `{setting.flag}` | `{setting.variable}` |"
            assert row in page, row
