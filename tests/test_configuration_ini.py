"""Template files: formatting, parsing and error reports."""

import unittest

from hypothesis import given, seed, settings, strategies as st

from endivegw.configuration.ini import IniDiagnostic, format_parameters, parse_template
from endivegw.configuration.parameters import Parameters
from endivegw.types import Priority

NAMES = st.lists(
    st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,12}", fullmatch=True), max_size=4
).map(lambda names: tuple(dict.fromkeys(names)))
PATHS = st.lists(
    st.from_regex(r"/[A-Za-z0-9%;#=/_-]{0,12}", fullmatch=True), max_size=3
)


def optional(strategy):
    return st.none() | strategy


PARAMETERS = st.builds(
    Parameters,
    budgets=optional(NAMES.filter(bool)),
    priority=optional(st.sampled_from(Priority)),
    models=optional(NAMES),
    services=optional(NAMES),
    repeatable_paths=optional(PATHS.map(lambda paths: tuple(dict.fromkeys(paths)))),
    repeatable_generations=optional(st.booleans()),
    weight=optional(st.floats(0.01, 1000)),
    max_output_tokens=optional(st.integers(1, 1_000_000)),
    reserve_s=optional(st.floats(0, 86_400)),
)


class TemplateFileTests(unittest.TestCase):
    @seed(3)
    @settings(max_examples=300, deadline=None, database=None, derandomize=True)
    @given(parameters=PARAMETERS)
    def test_formatted_template_parses_to_equal_parameters(self, parameters):
        """Applying a template file as displayed must not change the template."""
        self.assertEqual(parse_template(format_parameters(parameters)), parameters)

    def test_each_error_has_its_line_and_key(self):
        """A file is checked completely; each error is reported with line and key."""
        cases = {
            "weight = 1\n": IniDiagnostic(
                1, "weight = 1", "comes before the section [template]"
            ),
            "[template]\nweight = 1\nweight = 2\n": IniDiagnostic(
                3, "weight", "is given twice"
            ),
            "[template]\n[more]\n": IniDiagnostic(2, "", "unknown section [more]"),
            "[DEFAULT]\nweight = 1\n[template]\n": IniDiagnostic(
                1, "", "unknown section [DEFAULT]"
            ),
            "": IniDiagnostic(0, "", "no section [template]"),
            "[template]\nbudgets =\n": IniDiagnostic(
                2, "budgets", "an account needs at least one budget"
            ),
            "[template]\npriority = high\n": IniDiagnostic(
                2, "priority", "'high' is none of urgent, normal, batch"
            ),
            "[template]\nrepeatable_paths = /a, b\n": IniDiagnostic(
                2, "repeatable_paths", "'b' does not start with a slash"
            ),
        }
        for text, error in cases.items():
            with self.subTest(text=text):
                self.assertEqual(parse_template(text), (error,))

    def test_values_out_of_range_are_refused(self):
        """A weight of zero or of infinity would starve an account or all others."""
        for value in ("0", "-1", "inf", "nan", "1e9"):
            (error,) = parse_template(f"[template]\nweight = {value}\n")
            self.assertEqual((error.line, error.key), (2, "weight"))
