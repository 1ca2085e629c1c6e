"""Numbered events, their catalogue page and the format of log lines."""

import io
import json
import unittest

from tools.event_catalogue import PAGE, page_text

from endivegw.telemetry import EventLog, json_line_handler
from endivegw.telemetry.catalogue import ALL_EVENTS
from endivegw.telemetry.catalogue.router import REQUEST_REFUSED


class EventTests(unittest.TestCase):
    def test_numbers_and_names_are_unique(self):
        """No two events share a number or a name."""
        self.assertEqual(len({e.number for e in ALL_EVENTS}), len(ALL_EVENTS))
        self.assertEqual(len({e.name for e in ALL_EVENTS}), len(ALL_EVENTS))

    def test_page_lists_every_event(self):
        """docs/EVENTS.md matches the catalogue in the code."""
        self.assertEqual(PAGE.read_text(), page_text(), "run: make docs")

    def test_line_is_json_with_number_and_fields(self):
        """A line is one JSON object with the event's number and fields."""
        stream = io.StringIO()
        with json_line_handler(stream=stream).applicationbound():
            log = EventLog("router", instance_id="r1")
            log.emit(REQUEST_REFUSED, request_id="q1", reason="overloaded")
        line = json.loads(stream.getvalue())
        self.assertEqual(line["event"], REQUEST_REFUSED.number)
        self.assertEqual(line["reason"], "overloaded")
        self.assertEqual(line["instance_id"], "r1")

    def test_unknown_field_is_an_error(self):
        """A field that the event does not define is rejected."""
        with self.assertRaises(ValueError):
            EventLog("router").emit(REQUEST_REFUSED, colour="red")
