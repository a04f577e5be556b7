"""Tests radishtrayctl against concurrent changes, lost answers and outages."""

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


def section_text(name: str, deadline_ms: int = 1) -> str:
    """Returns a document with the section of one service."""
    return (
        f"format: 1\nservices:\n  {name}:\n    owner: {name}\n    kinds:\n"
        f"      k: {{method: GET, path: /k, deadline_ms: {deadline_ms}}}\n"
    )


class HookedPlatformStandin(PlatformStandin):
    """A platform stand-in that can run a hook before a write of the release.

    The hook runs once, at the next write, and returns whether the write is
    carried out. If not, the connection is closed without an answer.
    """

    release_write_hook: Callable[[Any], bool] | None = None

    def _write(self, request: Any, name: str) -> None:
        hook = self.release_write_hook
        if name == RELEASE_OBJECT and hook is not None:
            self.release_write_hook = None
            if not hook(request):
                request.transport.abortConnection()
                return
        super()._write(request, name)

    @property
    def release(self) -> Release:
        return decode_release(self.objects[RELEASE_OBJECT]).ok

    def store_object(self, name: str, value: bytes) -> None:
        self._last_version += 1
        self._objects[name] = (self._last_version, value)

    def apply_concurrent_change(self, name: str, deadline_ms: int) -> None:
        """Releases a change to one section, as another team would."""
        text = section_text(name, deadline_ms)
        digest = section_digest(text)
        current = self.release if RELEASE_OBJECT in self._objects else None
        self.store_object(section_object_name(name, digest), text.encode())
        release = next_release(
            current,
            {name: digest},
            change_id=f"concurrent-{name}-{deadline_ms}",
            author="other-team",
            time_ms=1,
        )
        self.store_object(RELEASE_OBJECT, release.encode())

    # Hooks for APPLY_CASES.

    def change_other_section(self, _: Any) -> bool:
        self.apply_concurrent_change("beta", 77)
        return True

    def change_same_section(self, _: Any) -> bool:
        self.apply_concurrent_change("alfa", 77)
        return True

    def lose_answer(self, _: Any) -> bool:
        self.faults.lose_next_answers = 1
        return True

    def lose_answer_then_change_other(self, request: Any) -> bool:
        """Carries out the write, then another team's, and gives no answer."""
        self.store_object(RELEASE_OBJECT, request.content.read())
        self.apply_concurrent_change("beta", 77)
        return False

    def lose_request(self, _: Any) -> bool:
        return False

    def lose_request_then_change_same(self, _: Any) -> bool:
        self.apply_concurrent_change("alfa", 77)
        return False

    def delay_write(self, request: Any) -> bool:
        """Delays the first write until the command repeats it."""
        value = request.content.read()

        def apply_delayed_write(_: Any) -> bool:
            self.store_object(RELEASE_OBJECT, value)
            return True

        self.release_write_hook = apply_delayed_write
        return False

    def begin_outage(self, _: Any) -> bool:
        self.faults.outage = True
        return False


# Case name: (hook, faults of the platform, further arguments, expected exit
# code, expected error or None, expected generation afterwards, expected
# deadlines of alfa and beta afterwards). Generation 3 with deadlines of 1 ms is
# in effect at the start; the command sets the deadline of alfa to 9 ms.
ApplyCase = tuple[str, dict[str, Any], list[str], int, str | None, int, tuple]
APPLY_CASES: dict[str, ApplyCase] = {
    "no_fault": ("", {}, [], 0, None, 4, (9, 1)),
    "other_section_changed": (
        "change_other_section", {}, [], 0, None, 5, (9, 77),
    ),
    "same_section_changed": (
        "change_same_section", {}, [], 1, "conflict", 4, (77, 1),
    ),
    "answer_lost": ("lose_answer", {}, [], 0, None, 4, (9, 1)),
    "answer_lost_then_other_section_changed": (
        "lose_answer_then_change_other", {}, [], 0, None, 5, (9, 77),
    ),
    "request_lost": ("lose_request", {}, [], 0, None, 4, (9, 1)),
    "request_lost_then_same_section_changed": (
        "lose_request_then_change_same", {}, [], 1, "conflict", 4, (77, 1),
    ),
    "write_delayed": ("delay_write", {}, [], 0, None, 4, (9, 1)),
    "section_answers_lost": (
        "", {"lose_next_answers": 2}, [], 0, None, 4, (9, 1),
    ),
    "platform_down": ("", {"outage": True}, [], 3, "unreachable", 3, (1, 1)),
    "platform_refuses": ("", {"refuse": True}, [], 3, "unreachable", 3, (1, 1)),
    "platform_down_at_release_write": (
        "begin_outage", {}, [], 3, "outcome_unknown", 3, (1, 1),
    ),
    "generation_expected": (
        "", {}, ["--expect-generation", "3"], 0, None, 4, (9, 1),
    ),
    "generation_not_expected": (
        "", {}, ["--expect-generation", "2"], 1, "generation", 3, (1, 1),
    ),
    "generation_expected_but_other_section_changed": (
        "change_other_section", {}, ["--expect-generation", "3"], 1,
        "generation", 4, (1, 77),
    ),
    "section_unchanged_since_base": (
        "", {}, ["--base-generation", "1"], 0, None, 4, (9, 1),
    ),
    "section_changed_since_base": (
        "", {}, ["--base-generation", "0"], 1, "conflict", 3, (1, 1),
    ),
    "absent_section": (
        "", {}, ["--section", "absent"], 1, "unknown_section", 3, (1, 1),
    ),
}  # fmt: skip


class CtlTest(TestCase):
    def setUp(self) -> None:
        self.platform = HookedPlatformStandin(reactor)
        self.address = self.start_server(self.platform)
        self.addCleanup(self.platform.close)
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def start_server(self, root: Resource) -> str:
        port = reactor.listenTCP(0, Site(root), interface="127.0.0.1")
        self.addCleanup(deferLater, reactor, 0.02)
        self.addCleanup(port.stopListening)
        return f"127.0.0.1:{port.getHost().port}"

    async def run_ctl(self, *arguments: str) -> tuple[int, dict[str, Any]]:
        """Runs a command in this process; returns its exit code and JSON."""
        output = io.StringIO()
        options = build_parser().parse_args([*arguments, "--json"])
        environment = {
            "RADISHTRAY_PLATFORM": f"http://{self.address}",
            "RADISHTRAY_TIMEOUT_S": "60",
            "RADISHTRAY_NODE": self.address,
            "RADISHTRAY_OPERATOR_TOKEN": "secret",
            "RADISHTRAY_AUTHOR": "own-team",
        }
        code = await run_command(options, reactor, environment, output)
        return code, json.loads(output.getvalue())

    def write_file(self, name: str, *texts: str) -> str:
        path = self.directory / name
        path.write_text("".join(texts), encoding="utf-8")
        return str(path)

    def apply_initial_generations(self) -> None:
        """Puts generations 1 to 3 into effect, one for each team."""
        self.platform._objects.clear()
        for name in TEAMS:
            self.platform.apply_concurrent_change(name, 1)

    def released_deadlines_ms(self, *names: str) -> tuple[int, ...]:
        release = self.platform.release
        texts = [
            self.platform.objects[section_object_name(n, release.sections[n])]
            for n in names
        ]
        return tuple(
            int(text.split(b"deadline_ms: ")[1].split(b"}")[0])
            for text in texts
        )

    async def test_apply_changes_its_section_once_or_reports_why_not(
        self,
    ) -> None:
        """An apply must not revert a change of another team or apply twice.

        Other teams may change the release during the apply, and requests to
        the platform or their answers may be lost.
        """
        path = self.write_file("alfa.yaml", section_text("alfa", 9))
        for name, case in APPLY_CASES.items():
            (
                hook,
                faults,
                arguments,
                exit_code,
                error,
                generation,
                expected_deadlines_ms,
            ) = case
            self.apply_initial_generations()
            self.platform.faults = Faults(**faults)
            self.platform.release_write_hook = (
                getattr(self.platform, hook) if hook else None
            )
            code, result = await self.run_ctl(
                "config", "apply", path, *arguments
            )
            self.assertEqual(code, exit_code, (name, result))
            self.assertEqual(result.get("error"), error, name)
            release = self.platform.release
            self.assertEqual(release.generation, generation, name)
            self.assertEqual(
                self.released_deadlines_ms("alfa", "beta"),
                expected_deadlines_ms,
                name,
            )
            own_changes = [c for c in release.history if c.author == "own-team"]
            self.assertEqual(len(own_changes), int(error is None), name)
            if error == "conflict":
                conflict = result["conflicts"][0]
                self.assertEqual(conflict["section"], "alfa")
                self.assertEqual(conflict["author"], "other-team")
                last = release.last_change("alfa")
                self.assertEqual(conflict["generation"], last.generation)

    async def test_concurrent_applies_all_succeed_and_revert_nothing(
        self,
    ) -> None:
        self.apply_initial_generations()

        async def apply_changes(name: str) -> None:
            for deadline_ms in range(2, 7):
                text = section_text(name, deadline_ms)
                path = self.write_file(f"{name}.yaml", text)
                code, result = await self.run_ctl("config", "apply", path)
                self.assertEqual(code, 0, result)
                self.assertEqual(
                    self.released_deadlines_ms(name), (deadline_ms,)
                )

        await gatherResults(
            [Deferred.fromCoroutine(apply_changes(name)) for name in TEAMS]
        )
        release = self.platform.release
        self.assertEqual(release.generation, 3 + 5 * len(TEAMS))
        for name in TEAMS:
            digests = [
                release.sections_at(number).get(name)
                for number in range(1, release.generation + 1)
            ]
            versions = [
                section_digest(section_text(name, number))
                for number in range(1, 7)
            ]
            version_numbers = [
                versions.index(digest) for digest in digests if digest
            ]
            self.assertEqual(version_numbers, sorted(version_numbers), name)

    async def test_apply_of_a_whole_document_keeps_later_changes_of_others(
        self,
    ) -> None:
        self.apply_initial_generations()
        _, result = await self.run_ctl("config", "show")
        parts = [result["sections"][name] for name in TEAMS]
        bodies = [part.removeprefix("format: 1\nservices:\n") for part in parts]
        self.platform.apply_concurrent_change("beta", 5)
        document = "".join(["format: 1\nservices:\n", *bodies])
        edited = document.replace("deadline_ms: 1}", "deadline_ms: 3}", 1)
        path = self.write_file("whole.yaml", edited)
        code, result = await self.run_ctl("config", "apply", path)
        self.assertEqual((code, result["changed"]), (0, ["alfa"]))
        self.assertEqual(result["left"], ["beta"])
        self.assertEqual(self.released_deadlines_ms(*TEAMS), (3, 5, 1))

    async def test_shown_file_conflicts_after_a_later_change(self) -> None:
        """A file that `config show` wrote must not overwrite a later change."""
        self.apply_initial_generations()
        await self.run_ctl("config", "show", "--output", str(self.directory))
        path = self.directory / "alfa.yaml"
        text = path.read_text()
        path.write_text(text.replace("deadline_ms: 1", "deadline_ms: 4"))
        code, result = await self.run_ctl("config", "plan", str(path))
        self.assertEqual((code, result["changes"]), (0, {"alfa": "change"}))
        self.platform.apply_concurrent_change("alfa", 8)
        code, result = await self.run_ctl("config", "apply", str(path))
        self.assertEqual((code, result["error"]), (1, "conflict"))

    async def test_rollback_and_removal_create_new_generations(self) -> None:
        self.apply_initial_generations()
        self.platform.apply_concurrent_change("alfa", 2)
        self.platform.apply_concurrent_change("beta", 2)
        steps = {
            "rollback 4 --section alfa": (0, 5, (2, 2)),
            "rollback 3 --section alfa": (0, 6, (1, 2)),
            "rollback 5": (0, 7, (2, 2)),
            "rollback 3": (0, 8, (1, 1)),
            "rollback 99": (1, 8, (1, 1)),
            "rollback 3 --section absent": (1, 8, (1, 1)),
        }
        for arguments, (
            exit_code,
            generation,
            expected_deadlines_ms,
        ) in steps.items():
            code, result = await self.run_ctl("config", *arguments.split())
            self.assertEqual(code, exit_code, (arguments, result))
            self.assertEqual(self.platform.release.generation, generation)
            self.assertEqual(
                self.released_deadlines_ms("alfa", "beta"),
                expected_deadlines_ms,
                arguments,
            )
        path = self.write_file("alfa.yaml", section_text("alfa"))
        await self.run_ctl("config", "apply", path, "--remove", "beta")
        self.assertEqual(
            sorted(self.platform.release.sections), ["alfa", "gama"]
        )
        _, result = await self.run_ctl("config", "history", "--section", "beta")
        self.assertEqual(result["changes"][0]["author"], "own-team")
        code, _ = await self.run_ctl(
            "config", "history", "--change-id", "absent"
        )
        self.assertEqual(code, 1)

    async def test_whole_document_is_checked_before_it_takes_effect(
        self,
    ) -> None:
        """An apply with an error must be refused and leave the release.

        The error is reported at its place in the file. If the files also hold
        an unselected section that differs from the release, its place in the
        section is reported.
        """
        self.apply_initial_generations()
        text = section_text("alfa").replace("/k,", "/k, calls: [beta/no],")
        path = self.write_file("alfa.yaml", "# One more line.\n", text)
        stale = self.write_file("stale.yaml", section_text("gama", 3))
        cases = {
            (path,): (path, 7),
            (path, stale, "--section", "alfa"): ("section alfa", 6),
        }
        for arguments, place in cases.items():
            code, result = await self.run_ctl("config", "apply", *arguments)
            self.assertEqual((code, result["error"]), (1, "findings"))
            (finding,) = result["findings"]
            self.assertEqual(finding["key"], "kinds.k.calls")
            self.assertEqual((finding["source"], finding["line"]), place)
        self.assertEqual(self.platform.release.generation, 3)

    async def test_check_reports_each_error_at_its_line(self) -> None:
        """Five errors in one document must be found with file and line."""
        text = (EXAMPLES / "pasaporte-gremlin.yaml").read_text("utf-8")
        injected_errors = {
            "class: low": "class: lowest",
            "deadline_ms: 2000": "deadline_ms: 0",
            "owner: equipo-gafete": "ownr: equipo-gafete",
            "[gafete/validar]": "[gafete/no]",
            "path: /portones\n": "path: portones\n",
        }
        for old, new in injected_errors.items():
            text = text.replace(old, new, 1)
        path = self.write_file("errors.yaml", text)
        code, result = await self.run_ctl("config", "check", path)
        self.assertEqual(code, 1)
        lines = text.splitlines()
        expected_lines = {
            next(
                number
                for number, line in enumerate(lines, 1)
                if new.strip() in line
            )
            for new in injected_errors.values()
        }
        found_lines = [finding["line"] for finding in result["findings"]]
        self.assertEqual(found_lines, sorted(expected_lines))
        self.assertEqual({f["source"] for f in result["findings"]}, {path})

    async def test_check_accepts_valid_files_and_rejects_a_missing_one(
        self,
    ) -> None:
        self.write_file("alfa.yaml", section_text("alfa"))
        valid_path = str(EXAMPLES / "fundacion.yaml")
        cases = {
            (valid_path,): 0,
            (str(EXAMPLES / "pasaporte-gremlin.yaml"),): 0,
            (str(self.directory),): 0,
            (str(self.directory), valid_path): 0,
            (valid_path, valid_path + ".no"): 2,
        }
        for paths, expected in cases.items():
            code, _ = await self.run_ctl("config", "check", *paths)
            self.assertEqual(code, expected, paths)

    async def test_status_and_drain_report_the_state_of_nodes(self) -> None:
        self.address = self.start_server(OperatorApiStandin())
        clean_node = self.start_server(
            OperatorApiStandin(b'{"unknown_outcomes": []}')
        )
        nodes = ("--node", self.address, "--node", clean_node)
        code, result = await self.run_ctl("status", *nodes)
        outcomes = [
            node["status"]["unknown_outcomes"] for node in result["nodes"]
        ]
        self.assertEqual((code, outcomes), (1, [[{"key": "k"}], []]))
        self.assertEqual((result["ok"], len(result["findings"])), (False, 1))
        code, result = await self.run_ctl("status", "--node", clean_node)
        self.assertEqual(
            (code, result["ok"], result["findings"]), (0, True, [])
        )
        code, result = await self.run_ctl("drain")
        self.assertEqual((code, result["draining"]), (0, True))
        code, _ = await self.run_ctl("status", "--operator-token", "wrong")
        self.assertEqual(code, 1)
        code, result = await self.run_ctl(
            "status", *nodes, "--node", "127.0.0.1:1"
        )
        self.assertEqual((code, len(result["findings"])), (3, 2))
        self.assertEqual(result["nodes"][2]["error"], "unreachable")


class OperatorApiStandin(Resource):
    """A stand-in of a node's operators' API with a fixed status."""

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
        responses = {
            (b"GET", b"/status"): self._status,
            (b"POST", b"/drain"): b'{"draining": true}',
        }
        return responses[request.method, request.path]


@pytest.mark.parametrize(
    "arguments",
    [[], ["config"], ["config", "apply"], ["config", "rollback", "-1"], ["x"]],
    ids=str,
)
def test_invalid_command_line_exits_with_2(arguments: list[str]) -> None:
    with pytest.raises(SystemExit) as caught:
        build_parser().parse_args(arguments)
    assert caught.value.code == 2


@pytest.mark.parametrize(
    ("arguments", "exit_code"),
    [
        # The directory holds two whole documents, which cannot be combined.
        (["config", "check", str(EXAMPLES)], 1),
        (["config", "check", str(EXAMPLES / "fundacion.yaml")], 0),
        (["config", "show"], 2),
        (["config", "show", "--platform", "http://127.0.0.1:1"], 3),
        (["status", "--node", "127.0.0.1:1", "--operator-token", "é"], 2),
        (["status", "--node", "127.0.0.1:1", "--node", "nowhere"], 2),
    ],
    ids=str,
)
def test_process_exits_with_the_code_of_the_command(
    arguments: list[str], exit_code: int
) -> None:
    """Errors must end in an exit code and a message, not in a traceback."""
    command = [sys.executable, "-m", "radishtray_ctl.main", *arguments]
    environment = {"PATH": os.environ["PATH"], "LANG": "C.UTF-8"}
    completed = subprocess.run(
        command, env=environment, capture_output=True, check=False
    )
    assert completed.returncode == exit_code, completed.stderr
    assert b"Traceback" not in completed.stderr


def test_every_command_and_setting_is_documented() -> None:
    page = (EXAMPLES.parent / "docs" / "cli.md").read_text("utf-8")
    for entry in COMMANDS.values():
        assert f"| `{entry.name}" in page, entry.name
        for setting in entry.settings:
            row = f"| `{setting.flag}` | `{setting.variable}` |"
            assert row in page, row
