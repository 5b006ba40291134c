#!/usr/bin/env python3
"""Runs the test command and ignores the failures that KNOWN-RED.txt lists, and no others.

An entry is one line of KNOWN-RED.txt:

    test: TARGET::TEST | command: ... | seed: ... | seen: ... | issue: N

TEST is the name that the test runner prints. A scenario is named in brackets after the test
that runs it, `scenarios::every_scenario_holds[fleet]`; failures of other scenarios still count.
The check fails on everything that no entry can explain: a build error, an incomplete run, a panic
in a listed scenario.
"""

import dataclasses
import pathlib
import re
import subprocess
import sys

TEST_COMMAND = ["cargo", "test", "--workspace", "--locked", "--no-fail-fast"]
# Must be less than the time limit of a CI job.
TIME_LIMIT_S = 75 * 60
ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
SCENARIO_FOLDER = ROOT / "tests" / "scenarios"
SCENARIO_TEST = "scenarios::every_scenario_holds"

ENTRY_FIELDS = ("test", "command", "seed", "seen", "issue")
ENTRY_TEST = re.compile(r"^\w+::[\w:]+(\[[\w-]+\])?$")
TARGET_HEADER = re.compile(r"^\s+Running .*\(.*?([\w]+)-[0-9a-f]{16}(?:\.exe)?\)$")
DOC_TESTS_HEADER = re.compile(r"^\s+Doc-tests (\w+)$")
TEST_COUNT = re.compile(r"^running (\d+) tests?$")
TEST_RESULT = re.compile(r"^test (.+?)(?: - should panic)? \.\.\. (ok|FAILED|ignored)")
TARGET_RESULT = re.compile(
    r"^test result: (ok|FAILED)\. (\d+) passed; (\d+) failed; (\d+) ignored"
)
SCENARIO_RESULT = re.compile(r"^([\w-]+): (holds|FAILS)$")
SCENARIO_PANIC = "    panicked"


class CheckFailed(Exception):
    """The check does not pass; the message says why."""


@dataclasses.dataclass
class Target:
    """A test target, as parsed from its output."""

    name: str
    announced_tests: int | None = None
    results: dict[str, str] = dataclasses.field(default_factory=dict)
    is_finished: bool = False


@dataclasses.dataclass
class Run:
    """The results of a test run, as parsed from its output."""

    targets: list[Target] = dataclasses.field(default_factory=list)
    scenarios: dict[str, str] = dataclasses.field(default_factory=dict)
    panicked: set[str] = dataclasses.field(default_factory=set)

    def failures(self) -> set[str]:
        """Returns the tests that failed; for the scenario test the scenarios that failed."""
        failed = {
            f"{target.name}::{test}"
            for target in self.targets
            for test, result in target.results.items()
            if result == "FAILED"
        }
        failed_scenarios = {
            f"{SCENARIO_TEST}[{name}]"
            for name, result in self.scenarios.items()
            if result == "FAILS"
        }
        if SCENARIO_TEST in failed and failed_scenarios:
            failed = (failed - {SCENARIO_TEST}) | failed_scenarios
        return failed

    def tests(self) -> set[str]:
        """Returns all tests that the run reports."""
        return {f"{target.name}::{test}" for target in self.targets for test in target.results}


def parse_entries(text: str) -> dict[str, str]:
    """Returns the listed tests, each with its line in the file."""
    entries: dict[str, str] = {}
    for line in filter(str.strip, text.splitlines()):
        pairs = [part.partition(": ") for part in line.split(" | ")]
        fields = {name.strip(): value.strip() for name, _, value in pairs}
        if tuple(fields) != ENTRY_FIELDS or not all(fields.values()):
            raise CheckFailed(f"malformed entry, expected the fields {ENTRY_FIELDS}: {line}")
        if not ENTRY_TEST.match(fields["test"]) or not fields["issue"].isdigit():
            raise CheckFailed(f"malformed test or issue in the entry: {line}")
        if fields["test"] in entries:
            raise CheckFailed(f"two entries for {fields['test']}")
        entries[fields["test"]] = line
    return entries


def parse_run(output: str) -> Run:
    """Parses the output of the test command."""
    run = Run()
    scenario = None
    for line in output.splitlines():
        header = TARGET_HEADER.match(line) or DOC_TESTS_HEADER.match(line)
        target = run.targets[-1] if run.targets else None
        if header:
            run.targets.append(Target(header.group(1)))
        elif target is None:
            continue
        elif match := TEST_COUNT.match(line):
            target.announced_tests = int(match.group(1))
        elif match := TEST_RESULT.match(line):
            target.results[match.group(1)] = match.group(2)
        elif match := TARGET_RESULT.match(line):
            check_target(target, match)
            target.is_finished = True
        elif target.name == "scenarios" and (match := SCENARIO_RESULT.match(line)):
            scenario = match.group(1)
            run.scenarios[scenario] = match.group(2)
        elif line == SCENARIO_PANIC and scenario:
            run.panicked.add(scenario)
    return run


def check_target(target: Target, summary: re.Match) -> None:
    """Checks that the result lines of a test target agree with its summary line."""
    counts = [list(target.results.values()).count(word) for word in ("ok", "FAILED", "ignored")]
    summary_counts = [int(number) for number in summary.groups()[1:]]
    if counts != summary_counts or target.announced_tests != sum(summary_counts):
        raise CheckFailed(f"the results of {target.name} do not match its summary line")


def check_complete(run: Run, exit_status: int | None, scenarios: set[str]) -> None:
    """Checks that the run has finished and has run at least one test."""
    if exit_status is None:
        raise CheckFailed("the tests took too long")
    if not run.tests():
        raise CheckFailed("no test was run")
    for target in run.targets:
        if not target.is_finished:
            raise CheckFailed(f"{target.name} did not finish")
    failed_tests = any(
        result == "FAILED" for target in run.targets for result in target.results.values()
    )
    if (exit_status != 0) != failed_tests:
        raise CheckFailed(f"exit status {exit_status} is not explained by the tests' results")
    if run.scenarios and set(run.scenarios) != scenarios:
        raise CheckFailed("not every scenario has a result")


def evaluate_run(
    output: str, exit_status: int | None, listed: dict[str, str], scenarios: set[str]
) -> list[str]:
    """Returns a line for each listed entry, with its result.

    Raises CheckFailed unless the run passes.
    `exit_status` is None for a run that exceeded the time limit.
    """
    run = parse_run(output)
    check_complete(run, exit_status, scenarios)
    known_tests = run.tests() | {f"{SCENARIO_TEST}[{name}]" for name in scenarios}
    for test in listed:
        if test not in known_tests:
            raise CheckFailed(f"an entry names a test that does not exist: {test}")
    failures = run.failures()
    unlisted = sorted(failures - set(listed))
    if unlisted:
        raise CheckFailed("failed and not listed: " + ", ".join(unlisted))
    for name in sorted(run.panicked):
        raise CheckFailed(f"scenario {name} panicked")
    return [
        f"known failure {'FAILED' if test in failures else 'passed'}: {line}"
        for test, line in listed.items()
    ]


def run_tests() -> tuple[str, int | None]:
    """Runs the test command and shows its output; returns the output and the exit status."""
    lines: list[str] = []
    with subprocess.Popen(
        ["timeout", str(TIME_LIMIT_S), *TEST_COMMAND],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
    ) as process:
        for line in process.stdout:
            sys.stdout.write(line)
            sys.stdout.flush()
            lines.append(line)
    # The exit status of `timeout` after the time limit.
    timed_out = process.returncode == 124
    return "".join(lines), None if timed_out else process.returncode


def main() -> int:
    """Runs the tests and evaluates the run; returns the exit status."""
    try:
        listed = parse_entries(KNOWN_FAILURES_FILE.read_text(encoding="utf-8"))
        scenarios = {path.stem for path in SCENARIO_FOLDER.glob("*.txt")}
        output, exit_status = run_tests()
        for line in evaluate_run(output, exit_status, listed, scenarios):
            print(line)
    except CheckFailed as error:
        print(f"not passed: {error}")
        return 1
    print(f"passed; {len(listed)} known failures are listed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
