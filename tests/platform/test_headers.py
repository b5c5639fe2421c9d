"""Test the translation between HTTP headers and requests and answers."""

import unittest
from unittest import mock

from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding.translator import (
    ForwardOptions,
    MalformedRequestError,
)
from trefoilstage.platform import headers
from trefoilstage.platform.headers import HeaderTranslator

TRANSLATOR = HeaderTranslator()
REQUEST_HEADERS = {
    "Host": "Club.example:80",
    "Attempt-Id": "9c41",
    "Token-Count": "1460,80",
    "Prompt-Prefix": "5c1e:800,91bd:410,e440:250",
    "Deadline-Ms": "15000",
    "Key": "secret",
}


class HeaderTranslatorTest(unittest.TestCase):
    """Test the decoding and encoding of headers."""

    def read_request(self, **extra: str):  # type: ignore[no-untyped-def]
        """Decode a request with extra headers."""
        headers = {
            **REQUEST_HEADERS,
            **{name.replace("_", "-"): v for name, v in extra.items()},
        }
        return TRANSLATOR.read_request(
            method="POST", raw_target="/a/b?x=1", headers=headers.items()
        )

    def write_request(self, options: ForwardOptions, **extra: str) -> dict[str, str]:
        """Return the headers that a target receives."""
        pairs = TRANSLATOR.write_request(
            self.read_request(**extra), make_target("i-1"), options
        )
        self.assertEqual(len(pairs), len(dict(pairs)), pairs)
        return dict(pairs)

    def test_request_is_decoded(self) -> None:
        request = self.read_request()
        self.assertEqual(request.host, "club.example")
        self.assertEqual((request.path, request.raw_target), ("/a/b", "/a/b?x=1"))
        self.assertEqual(request.max_tokens, 1_540)
        self.assertEqual(request.deadline_s, 15.0)
        self.assertEqual([part.n_tokens for part in request.prompt], [800, 410, 250])

    def test_length_hint_is_decoded_and_forwarded(self) -> None:
        """Guard against a hint that is lost on its way to the target."""
        self.assertIsNone(self.read_request().length_hint)
        self.assertEqual(self.read_request(Length_Hint="0").length_hint, 0)
        self.assertEqual(self.read_request(Length_Hint="412").length_hint, 412)
        options = ForwardOptions(workspace="brest", deadline_s=1.0)
        sent = self.write_request(options, Length_Hint="412")
        unhinted = self.write_request(options)
        self.assertEqual(sent, {**unhinted, "Length-Hint": "412"})

    def test_malformed_length_hint_is_ignored_with_one_bounded_line(self) -> None:
        """Guard against callers refused, or logs filled, by a malformed estimate."""
        for text in ("-1", "1.5", "many", "", "٣", "9" * 9_000):
            with (
                self.subTest(text=text[:9]),
                mock.patch.object(headers, "log_event") as log_event,
            ):
                self.assertIsNone(self.read_request(Length_Hint=text).length_hint)
                log_event.assert_called_once()
                self.assertLess(len(log_event.call_args.kwargs["value"]), 300)

    def test_reserved_headers_of_callers_are_not_forwarded(self) -> None:
        """Send headers that only this system may set.

        If they were forwarded, they could bill another workspace, reserve a target's
        memory or continue another caller's run, and a target would receive the key.
        """
        options = ForwardOptions(workspace="brest", deadline_s=1.0)
        headers = self.write_request(
            options,
            Tenant="quimper",
            Hold="h",
            Pin_Ms="9",
            Kv_Backup="1.2.3.4:1",
            Kv_From="1.2.3.4:1/x",
            Kv_Fetch="1.2.3.4:1",
            Expect_Instance="i-9",
            Request_Urgency="0",
        )
        self.assertEqual(headers["Tenant"], "brest")
        self.assertEqual(headers["Expect-Instance"], "i-1")
        self.assertEqual(headers["Deadline-Ms"], "1000")
        for name in ("Key", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch"):
            self.assertNotIn(name, headers)
        self.assertNotIn("Request-Urgency", headers)

    def test_other_headers_of_callers_are_forwarded_unchanged(self) -> None:
        """Forward headers that describe the request, and unknown ones."""
        options = ForwardOptions(workspace="brest", deadline_s=1.0)
        headers = self.write_request(options, X_Other="1", Last_Event_Id="7")
        for name in ("Attempt-Id", "Token-Count", "Prompt-Prefix"):
            self.assertEqual(headers[name], REQUEST_HEADERS[name])
        self.assertEqual(headers["X-Other"], "1")
        self.assertEqual(headers["Last-Event-Id"], "7")

    def test_fetch_is_written_and_callers_own_is_not_forwarded(self) -> None:
        """Guard against callers that make a target fetch from an address of theirs."""
        options = ForwardOptions(workspace="", deadline_s=1.0, fetch_from="127.0.0.1:7")
        for name in ("Kv_Fetch", "kv_fetch"):
            headers = self.write_request(options, **{name: "1.2.3.4:1"})
            self.assertEqual(headers["Kv-Fetch"], "127.0.0.1:7")
            self.assertNotIn("kv-fetch", headers)

    def test_resumption_replaces_last_event_id_of_caller(self) -> None:
        """Resume a stream after event 9 that the caller resumed after event 7."""
        options = ForwardOptions(workspace="", deadline_s=1.0, resume_after=9)
        headers = self.write_request(options, Last_Event_Id="7")
        self.assertEqual(headers["Last-Event-Id"], "9")

    def test_resumption_names_the_request_that_began_the_stream(self) -> None:
        """Guard against a resumed stream that is taken for a new one."""
        request = self.read_request(Resumes="77ab", Last_Event_Id="7")
        self.assertEqual((request.resumes, request.last_event_id), ("77ab", "7"))
        self.assertTrue(request.is_resumption)
        self.assertTrue(self.read_request(Last_Event_Id="7").is_resumption)
        self.assertFalse(self.read_request().is_resumption)

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        """Remove hop-by-hop headers and those that Connection names."""
        options = ForwardOptions(workspace="", deadline_s=None)
        headers = self.write_request(
            options, Connection="x-hop", X_Hop="1", TE="trailers"
        )
        for name in ("Connection", "X-Hop", "TE"):
            self.assertNotIn(name, headers)

    def test_malformed_values_are_rejected(self) -> None:
        """Reject invalid numbers and ids that are too long."""
        for extra in (
            {"Token_Count": "many"},
            {"Token_Count": "-5,1"},
            {"Deadline_Ms": "soon"},
            {"Attempt_Id": "x" * 129},
            {"Resumes": "x" * 129},
            {"Last_Event_Id": "9" * 129},
        ):
            with self.assertRaises(MalformedRequestError):
                self.read_request(**extra)

    def test_repeated_header_with_other_value_is_rejected(self) -> None:
        """Guard against a stream taken up at any version, and tokens that nobody pays.

        A target may go by another value than the host.
        """

        def read(*values: str, name: str = "last-event-id"):  # type: ignore[no-untyped-def]
            pairs = [(name, value) for value in values]
            return TRANSLATOR.read_request(method="POST", raw_target="/", headers=pairs)

        for values in (("7", ""), ("", "7"), ("7", "8")):
            with self.subTest(values=values), self.assertRaises(MalformedRequestError):
                read(*values)
        self.assertEqual(read("7", "7").last_event_id, "7")
        for name in (
            "Token-Count",
            "Prompt-Prefix",
            "Model",
            "Host",
            "Deadline-Ms",
            "Key",
        ):
            refused = self.assertRaisesRegex(MalformedRequestError, name)
            with self.subTest(name=name), refused:
                read("7", "8", name=name.lower())

    def test_answer_of_another_request_is_not_trusted(self) -> None:
        """Decode answers without a seal, for another request, or with an encoding."""
        request = self.read_request()
        valid = {"Attempt-Id": "9c41", "Response-Seal": "s"}
        self.assertTrue(TRANSLATOR.read_answer(request, 200, valid).trusted)
        for untrusted in (
            {**valid, "Attempt-Id": "other"},
            {"Attempt-Id": "9c41"},
            {**valid, "Content-Encoding": "gzip"},
        ):
            self.assertFalse(TRANSLATOR.read_answer(request, 200, untrusted).trusted)

    def test_limit_of_a_target_is_read(self) -> None:
        """Guard against a target's limit that stays in the answer's headers."""
        request = self.read_request()
        for text, limit_per_s in (("1.6", 1.6), ("0", 0.0), ("12", 12.0)):
            head = TRANSLATOR.read_answer(request, 200, {"Server-Limit": text})
            self.assertEqual(head.limit_per_s, limit_per_s)
        self.assertIsNone(TRANSLATOR.read_answer(request, 200, {}).limit_per_s)

    def test_brittle_target_is_recognized(self) -> None:
        """Guard against a brittle target that is taken for a sound one."""
        request = self.read_request()
        for status, extra in ((200, {}), (503, {"Not-Executed": "1"})):
            answer = {"Server-Brittle": "4", **extra}
            head = TRANSLATOR.read_answer(request, status, answer)
            self.assertEqual(head.max_refusals_per_s, 4.0)
        self.assertIsNone(TRANSLATOR.read_answer(request, 200, {}).max_refusals_per_s)

    def test_start_of_a_target_is_read_from_its_report(self) -> None:
        """Guard against a restarted target that passes for the former one."""
        self.assertEqual(TRANSLATOR.read_report(b'{"born": 17, "busy": false}'), 17)
        for data in (b"{}", b'{"born": "17"}', b'{"born": -1}', b"[]", b"\xff", b""):
            with mock.patch.object(headers, "log_event"):
                self.assertIsNone(TRANSLATOR.read_report(data))

    def test_malformed_limit_is_logged_and_ignored(self) -> None:
        """Guard against an answer that is lost because of its limit."""
        request = self.read_request()
        for text in ("", "soon", "-1", "nan", "inf", "1,6"):
            with mock.patch.object(headers, "log_event") as log:
                head = TRANSLATOR.read_answer(request, 200, {"Server-Limit": text})
            self.assertIsNone(head.limit_per_s)
            log.assert_called_once()

    def test_rest_that_a_target_asks_for_is_read(self) -> None:
        """Guard against a refusal's time that stays in the answer's headers.

        Only a refusal asks for rest; in another answer the header is for the caller.
        """
        request = self.read_request()
        refused = {"Not-Executed": "1", "Retry-After": "2.5"}
        self.assertEqual(TRANSLATOR.read_answer(request, 503, refused).rest_s, 2.5)
        self.assertIsNone(TRANSLATOR.read_answer(request, 200, refused).rest_s)
        self.assertIsNone(TRANSLATOR.read_answer(request, 503, {}).rest_s)

    def test_leaving_of_a_target_is_read(self) -> None:
        """Guard against a target's leaving that stays in the answer's headers."""
        request = self.read_request()
        head = TRANSLATOR.read_answer(request, 200, {"Server-Leaving": "1"})
        self.assertTrue(head.leaving)
        self.assertFalse(TRANSLATOR.read_answer(request, 200, {}).leaving)

    def test_only_explicit_refusal_counts_as_not_run(self) -> None:
        """Distinguish a target's refusal from its failure."""
        request = self.read_request()
        refused = TRANSLATOR.read_answer(request, 503, {"Not-Executed": "1"})
        self.assertTrue(refused.not_run)
        self.assertFalse(TRANSLATOR.read_answer(request, 503, {}).not_run)
        misdirected = TRANSLATOR.read_answer(request, 421, {})
        self.assertTrue(misdirected.not_run and misdirected.misdirected)
