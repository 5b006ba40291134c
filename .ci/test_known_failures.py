"""Tests of known_failures.py with prepared test outputs."""

import unittest

import known_failures
from known_failures import CheckFailed, evaluate_run, parse_entries

SCENARIOS = {"fleet", "quiet-day"}
FLEET = "scenarios::every_scenario_holds[fleet]"
LISTED = f"test: {FLEET} | command: SCENARIO=fleet | seed: 1 | seen: 196 of 200 | issue: 36"

UNIT_TESTS = """\
     Running unittests src/lib.rs (target/debug/deps/stallcove-886a1226a774be34)

running 2 tests
test storage::ids::tests::ids_are_read ... ok
test storage::keys::tests::keys_are_read ... ok

test result: ok. 2 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.01s

"""
DOC_TESTS = """\
   Doc-tests stallcove

running 0 tests

test result: ok. 0 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s
"""
SCENARIO_HEADER = """\
     Running tests/scenarios.rs (target/debug/deps/scenarios-1126fe0d14fa4e2d)

running 1 test
"""
SCENARIOS_HOLD = f"""\
{SCENARIO_HEADER}test every_scenario_holds ... ok

test result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 9.41s

"""


def failing_scenarios(*results: str) -> str:
    """Returns the output of a scenario test that fails, with these result lines."""
    return f"""\
{SCENARIO_HEADER}test every_scenario_holds ... FAILED

failures:

---- every_scenario_holds stdout ----
{chr(10).join(results)}

failures:
    every_scenario_holds

test result: FAILED. 0 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out; finished in 9.41s

"""


FLEET_FAILS = failing_scenarios(
    "fleet: FAILS", "    at 135 expect job-1 running 200: 196 tasks run", "quiet-day: holds"
)
BOTH_FAIL = failing_scenarios(
    "fleet: FAILS",
    "    at 135 expect job-1 running 200: 196 tasks run",
    "quiet-day: FAILS",
    "    quota: team",
)
FLEET_PANICS = failing_scenarios("fleet: FAILS", "    panicked", "quiet-day: holds")
ONE_WITHOUT_RESULT = failing_scenarios("fleet: FAILS", "    at 135 expect job-1 running 200: 196")
UNIT_TEST_FAILS = UNIT_TESTS.replace("keys_are_read ... ok", "keys_are_read ... FAILED").replace(
    "ok. 2 passed; 0 failed", "FAILED. 1 passed; 1 failed"
)
BUILD_ERROR = "error[E0425]: cannot find value `x` in this scope\n"


class KnownFailures(unittest.TestCase):
    """Tests which runs pass the check."""

    def run_with(self, output: str, exit_status: int | None, entries: str = LISTED) -> list[str]:
        return evaluate_run(output, exit_status, parse_entries(entries), SCENARIOS)

    def assert_check_fails(
        self, reason: str, output: str, exit_status: int | None, entries: str = LISTED
    ) -> None:
        with self.assertRaisesRegex(CheckFailed, reason):
            self.run_with(output, exit_status, entries)

    def test_all_green_passes(self) -> None:
        lines = self.run_with(UNIT_TESTS + SCENARIOS_HOLD + DOC_TESTS, 0)
        self.assertEqual(lines, [f"known failure passed: {LISTED}"])

    def test_all_green_without_entries_passes(self) -> None:
        self.assertEqual(self.run_with(UNIT_TESTS + SCENARIOS_HOLD + DOC_TESTS, 0, ""), [])

    def test_only_a_listed_failure_passes(self) -> None:
        lines = self.run_with(UNIT_TESTS + FLEET_FAILS + DOC_TESTS, 101)
        self.assertEqual(lines, [f"known failure FAILED: {LISTED}"])

    def test_a_listed_unit_test_passes(self) -> None:
        test = "stallcove::storage::keys::tests::keys_are_read"
        entry = LISTED.replace(FLEET, test)
        lines = self.run_with(UNIT_TEST_FAILS + SCENARIOS_HOLD, 101, entry)
        self.assertEqual(lines, [f"known failure FAILED: {entry}"])

    def test_a_failure_without_entries(self) -> None:
        self.assert_check_fails("not listed: .*fleet", UNIT_TESTS + FLEET_FAILS, 101, "")

    def test_an_unlisted_scenario_beside_a_listed_one(self) -> None:
        self.assert_check_fails("not listed: .*quiet-day", UNIT_TESTS + BOTH_FAIL, 101)

    def test_an_unlisted_test_beside_a_listed_scenario(self) -> None:
        self.assert_check_fails("not listed: .*keys_are_read", UNIT_TEST_FAILS + FLEET_FAILS, 101)

    def test_a_listed_scenario_that_panics(self) -> None:
        self.assert_check_fails("panicked", UNIT_TESTS + FLEET_PANICS, 101)

    def test_a_scenario_test_that_fails_without_a_scenario(self) -> None:
        self.assert_check_fails("not listed", UNIT_TESTS + failing_scenarios(), 101)

    def test_a_scenario_without_a_result(self) -> None:
        self.assert_check_fails("not every scenario", UNIT_TESTS + ONE_WITHOUT_RESULT, 101)

    def test_a_build_error(self) -> None:
        self.assert_check_fails("no test was run", BUILD_ERROR, 101)
        self.assert_check_fails("not explained", UNIT_TESTS + BUILD_ERROR, 101)

    def test_an_incomplete_run(self) -> None:
        incomplete = UNIT_TESTS + SCENARIO_HEADER
        self.assert_check_fails("did not finish", incomplete, 101)
        self.assert_check_fails("did not finish", incomplete, 0)

    def test_a_run_without_tests(self) -> None:
        self.assert_check_fails("no test was run", DOC_TESTS, 0)
        self.assert_check_fails("no test was run", "", 0)

    def test_results_that_do_not_match_the_summary(self) -> None:
        missing = UNIT_TESTS.replace("test storage::ids::tests::ids_are_read ... ok\n", "")
        self.assert_check_fails("do not match its summary line", missing, 0)

    def test_an_exit_status_that_the_results_do_not_explain(self) -> None:
        self.assert_check_fails("not explained", UNIT_TESTS + SCENARIOS_HOLD, 101)
        self.assert_check_fails("not explained", UNIT_TESTS + FLEET_FAILS, 0)

    def test_a_timeout(self) -> None:
        self.assert_check_fails("too long", UNIT_TESTS + SCENARIOS_HOLD, None)

    def test_malformed_entries(self) -> None:
        for entry in (
            "fleet fails at times",
            LISTED.replace("seed: 1 | ", ""),
            LISTED.replace("seed: 1", "seed: "),
            LISTED.replace("issue: 36", "issue: soon"),
            LISTED.replace(FLEET, "fleet"),
        ):
            with self.subTest(entry), self.assertRaisesRegex(CheckFailed, "malformed"):
                parse_entries(entry)

    def test_a_duplicate_entry(self) -> None:
        with self.assertRaisesRegex(CheckFailed, "two entries"):
            parse_entries(f"{LISTED}\n{LISTED}\n")

    def test_an_entry_for_a_test_that_does_not_exist(self) -> None:
        output = UNIT_TESTS + SCENARIOS_HOLD
        for test in ("scenarios::every_scenario_holds[flet]", "stallcove::no_such_test"):
            with self.subTest(test):
                self.assert_check_fails("does not exist", output, 0, LISTED.replace(FLEET, test))

    def test_the_test_command_is_that_of_the_readme(self) -> None:
        readme = (known_failures.ROOT / "README.md").read_text(encoding="utf-8")
        self.assertIn("    " + " ".join(known_failures.TEST_COMMAND) + "\n", readme)


if __name__ == "__main__":
    unittest.main()
