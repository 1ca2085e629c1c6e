"""Operators' commands, run against a stand-in for the platform."""

import json
import pathlib
import tempfile
import time
import unittest

from anyio.from_thread import start_blocking_portal
from click.testing import CliRunner

from endivegw.cli import main
from endivegw.commands.account import create_account, hash_key
from endivegw.commands.changes import Operation
from endivegw.configuration.reports import AdoptionReport, write_report
from endivegw.services import ListedVm, VmState
from endivegw_standins.platform_app import StandinPlatform
from endivegw_standins.serving import served

TEMPLATE = """\
[template]
priority = urgent
models = planner, planner+badges
weight = 2
"""


class OperatorCommandTests(unittest.TestCase):
    def setUp(self):
        self.platform = StandinPlatform()
        portal = self.enterContext(start_blocking_portal())
        url = self.enterContext(
            portal.wrap_async_context_manager(served(self.platform, lifespan=False))
        )
        self.portal = portal
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.directory = directory
        self.settings = directory / "operator.ini"
        self.settings.write_text(
            f"[platform]\ntable_url = {url}/table\n"
            f"object_store_url = {url}/objects\nvm_list_url = {url}/vms\n"
        )

    def run_command(self, *arguments, code=0, stdin=None):
        environment = {
            "ENDIVEGW_SETTINGS": str(self.settings),
            "ENDIVEGW_OPERATOR": "ana",
        }
        result = CliRunner().invoke(main, arguments, input=stdin, env=environment)
        self.assertEqual(result.exit_code, code, result.output)
        return result

    def json(self, *arguments):
        return json.loads(self.run_command(*arguments, "--output", "json").stdout)

    def test_account_is_created_from_a_template_and_topped_up(self):
        """A new client account gets its parameters, its key and its budget."""
        file = self.directory / "kiosk.ini"
        file.write_text(TEMPLATE)
        self.run_command("template", "create", "kiosk", "--file", str(file))
        created = self.run_command(
            "account", "create", "lobby", "--template", "kiosk", "weight=5"
        )
        key = created.stdout.strip()
        shown = self.json("account", "show", "lobby")
        self.assertEqual(
            shown["parameters"]["weight"], {"value": "5", "source": "account"}
        )
        self.assertEqual(
            shown["parameters"]["priority"],
            {"value": "urgent", "source": "template kiosk"},
        )
        self.assertNotIn(key, self.run_command("account", "show", "lobby").output)
        stored = repr(self.platform.table.page("config-account", "", None, 10))
        self.assertIn(hash_key(key), stored)
        self.run_command("budget", "topup", "lobby", "main", "5000")
        (budget,) = self.json("budget", "list", "--account", "lobby")
        self.assertEqual((budget["topped_up"], budget["available"]), (5000, 5000))
        history = self.json("config", "history")
        self.assertEqual([line["revision"] for line in history], [2, 1])
        self.assertEqual(history[0]["operator"], "ana")

    def test_errors_in_a_file_name_line_and_key(self):
        """All errors of a file are reported at once, and nothing is written."""
        text = "[template]\nweight = heavy\npriority = urgent\nmodel = m\n"
        result = self.run_command(
            "template", "create", "kiosk", "--file", "-", code=2, stdin=text
        )
        self.assertIn("line 2: weight: 'heavy' is not a number", result.output)
        self.assertIn("line 4: model: unknown parameter", result.output)
        self.assertEqual(self.json("template", "list"), [])

    def test_file_made_from_an_older_version_is_refused(self):
        """
        An operator edits a file made by "template show" and applies it after another
        operator changed the template. The other operator's change must not be lost.
        """
        self.run_command("template", "create", "kiosk", "weight=1")
        shown = self.run_command("template", "show", "kiosk").stdout
        self.run_command("template", "edit", "kiosk", "reserve_s=30")
        edited = shown.replace("weight = 1", "weight = 3")
        result = self.run_command(
            "template", "edit", "kiosk", "--file", "-", code=3, stdin=edited
        )
        self.assertIn("reserve_s: (not set) -> 30", result.output)
        current = self.run_command("template", "show", "kiosk").stdout
        self.assertIn("reserve_s = 30", current)
        self.run_command(
            "template",
            "edit",
            "kiosk",
            "--file",
            "-",
            stdin=current.replace("weight = 1", "weight = 3"),
        )
        self.assertIn(
            "weight = 3", self.run_command("template", "show", "kiosk").stdout
        )

    def test_top_up_with_a_lost_answer_adds_once(self):
        """
        The response to a top-up is lost. The command determines the outcome by the
        operation id, and another run with the same id adds nothing.
        """
        self.run_command("account", "create", "lobby")
        self.platform.faults.table.lost_answer_share = 1.0
        arguments = ("budget", "topup", "lobby", "main", "700", "--operation-id", "x1")
        self.run_command(*arguments, "--timeout-s", "0.3")
        self.platform.faults.table.lost_answer_share = 0.0
        again = self.run_command(*arguments)
        self.assertIn("had been added before", again.output)
        (budget,) = self.json("budget", "list")
        self.assertEqual(budget["topped_up"], 700)

    def test_top_up_of_a_misspelt_budget_is_refused(self):
        """No request could spend tokens that are added under a wrong name."""
        self.run_command("account", "create", "lobby", "budgets=main, spare")
        self.run_command("budget", "topup", "lobby", "mian", "700", code=2)
        self.run_command("budget", "topup", "loby", "main", "700", code=2)
        self.assertEqual(self.json("budget", "list"), [])

    def test_unavailable_table_is_reported_without_traceback(self):
        """The command reports that nothing was changed, and prints no traceback."""
        self.platform.faults.table.outage = True
        result = self.run_command("target", "drain", "t1", code=1)
        self.assertIn("nothing was changed: unreachable", result.output)

    def test_target_is_drained_resumed_and_stopped(self):
        """The list shows the state of a target."""
        self.run_command("target", "set", "t1", "--serves", "planner")
        for verb, state in (
            ("drain", "drained"),
            ("resume", "in use"),
            ("stop", "stopped"),
        ):
            self.run_command("target", verb, "t1")
            (line,) = self.json("target", "list")
            self.assertEqual(line["state"], state)
        self.run_command("target", "drain", "t2", code=2)

    def test_wait_names_the_daemons_that_lack_the_revision(self):
        """
        One daemon has not adopted the change, and one listed VM has no report. The
        command names both, and succeeds once both have reported the revision.
        """
        self.run_command("template", "create", "kiosk")
        self.platform.vms[:] = [
            ListedVm(vm, "10.0.0.1", "a", "router", VmState.LIVE)
            for vm in ("vm-1", "vm-2", "vm-3")
        ]
        self.report({"vm-2": 0})
        result = self.run_command("config", "wait", "--for-s", "0", code=1)
        self.assertIn("vm-2 is not ready", result.output)
        self.assertIn("vm-3 is listed as live and was not heard", result.output)
        self.assertNotIn("vm-1", result.output)
        self.report({"vm-2": 1, "vm-3": 1})
        result = self.run_command("config", "wait", "--for-s", "1")
        self.assertIn("revision 1 is held by all 3 daemons", result.output)
        self.assertEqual(self.json("status")["lagging"], [])

    def report(self, revisions):
        report = AdoptionReport("vm-1", 1, time.time(), revisions)

        async def write():
            await write_report(self.platform.table, report, timeout_s=1)

        self.portal.call(write)

    async def create_accounts(self, count):
        for number in range(count):
            operation = Operation(f"op-{number}", "ana", 1000.0)
            await create_account(
                self.platform.table, operation, f"a{number}", template="kiosk"
            )

    def test_export_and_import_carry_the_configuration_over(self):
        """Importing an export into an empty table gives the same configuration."""
        self.run_command("template", "create", "kiosk", "weight=2")
        self.portal.call(self.create_accounts, 45)
        file = str(self.directory / "all")
        self.run_command("config", "export", file)
        before = self.json("account", "list")
        other = StandinPlatform()
        self.platform.table = other.table
        dry = self.run_command("config", "import", file, "--dry-run")
        self.assertIn("nothing was written", dry.output)
        self.assertEqual(self.json("account", "list"), [])
        self.run_command("config", "import", file)
        self.assertEqual(self.json("account", "list"), before)
        again = self.run_command("config", "import", file)
        self.assertIn("nothing to change", again.output)
        self.run_command("account", "create", "extra")
        self.run_command("config", "import", file, "--prune")
        self.assertEqual(self.json("account", "list"), before)

    def test_repeated_order_is_listed_once(self):
        """An order that is repeated with the same id is listed once."""
        order = ("order", "give", "engine-1", "load-model", "badge-2")
        version = ("--model-version", "7", "--operation-id", "op-1")
        self.run_command(*order, "--dry-run")
        self.assertEqual(self.json("order", "list", "engine-1"), [])
        self.run_command(*order, *version)
        self.run_command(*order, *version)
        (listed,) = self.json("order", "list", "engine-1")
        self.assertEqual(
            (listed["order"], listed["name"], listed["version"], listed["state"]),
            (1, "badge-2", "7", "pending"),
        )
