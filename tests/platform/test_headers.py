"""Test the translation of requests and answers from and to headers."""

import unittest

from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding.translator import (
    ForwardOptions,
    MalformedRequestError,
)
from trefoilstage.platform.headers import HeaderTranslator

TRANSLATOR = HeaderTranslator()
PLAIN = {
    "Host": "Club.example:80",
    "Attempt-Id": "9c41",
    "Token-Count": "1460,80",
    "Prompt-Prefix": "5c1e:800,91bd:410,e440:250",
    "Deadline-Ms": "15000",
    "Key": "secret",
}


class HeaderTranslatorTest(unittest.TestCase):
    """Test the decoding and encoding of headers."""

    def read(self, **more: str):  # type: ignore[no-untyped-def]
        """Decode a request with some headers more."""
        headers = {**PLAIN, **{name.replace("_", "-"): v for name, v in more.items()}}
        return TRANSLATOR.read_request(
            method="POST", raw_target="/a/b?x=1", headers=headers.items()
        )

    def write(self, options: ForwardOptions, **more: str) -> dict[str, str]:
        """Return the headers that a target gets."""
        pairs = TRANSLATOR.write_request(self.read(**more), make_target("i-1"), options)
        self.assertEqual(len(pairs), len(dict(pairs)), pairs)
        return dict(pairs)

    def test_request_is_decoded(self) -> None:
        """Read each field of a request."""
        request = self.read()
        self.assertEqual(request.host, "club.example")
        self.assertEqual((request.path, request.raw_target), ("/a/b", "/a/b?x=1"))
        self.assertEqual(request.max_tokens, 1_540)
        self.assertEqual(request.deadline_s, 15.0)
        self.assertEqual([part.n_tokens for part in request.prompt], [800, 410, 250])

    def test_forged_headers_do_not_pass(self) -> None:
        """Send headers that are the system's to set.

        Passed on, they would bill another workspace, reserve a target's memory or
        continue another caller's run; and the key itself would leave the system.
        """
        options = ForwardOptions(workspace="brest", deadline_s=1.0)
        headers = self.write(
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

    def test_own_headers_pass_unchanged(self) -> None:
        """Pass on what describes the request, and what is not known here."""
        options = ForwardOptions(workspace="brest", deadline_s=1.0)
        headers = self.write(options, X_Other="1", Last_Event_Id="7")
        for name in ("Attempt-Id", "Token-Count", "Prompt-Prefix"):
            self.assertEqual(headers[name], PLAIN[name])
        self.assertEqual(headers["X-Other"], "1")
        self.assertEqual(headers["Last-Event-Id"], "7")

    def test_resumption_replaces_the_callers_position(self) -> None:
        """Resume after event 9 a stream that the caller had resumed after 7."""
        options = ForwardOptions(workspace="", deadline_s=1.0, resume_after=9)
        headers = self.write(options, Last_Event_Id="7")
        self.assertEqual(headers["Last-Event-Id"], "9")

    def test_connection_headers_stay(self) -> None:
        """Leave out what concerns one connection, and what Connection names."""
        options = ForwardOptions(workspace="", deadline_s=None)
        headers = self.write(options, Connection="x-hop", X_Hop="1", TE="trailers")
        for name in ("Connection", "X-Hop", "TE"):
            self.assertNotIn(name, headers)

    def test_malformed_values_are_refused(self) -> None:
        """Refuse numbers that are none, with an error that says which."""
        for more in (
            {"Token_Count": "many"},
            {"Token_Count": "-5,1"},
            {"Deadline_Ms": "soon"},
            {"Attempt_Id": "x" * 129},
        ):
            with self.assertRaises(MalformedRequestError):
                self.read(**more)

    def test_answer_of_another_request_is_not_trusted(self) -> None:
        """Read answers without a signature, or that name another request."""
        request = self.read()
        good = {"Attempt-Id": "9c41", "Response-Seal": "s"}
        self.assertTrue(TRANSLATOR.read_answer(request, 200, good).trusted)
        for bad in (
            {**good, "Attempt-Id": "other"},
            {"Attempt-Id": "9c41"},
            {**good, "Content-Encoding": "gzip"},
        ):
            self.assertFalse(TRANSLATOR.read_answer(request, 200, bad).trusted)

    def test_only_a_target_that_says_so_did_not_run(self) -> None:
        """Tell a target's refusal from its failure."""
        request = self.read()
        refused = TRANSLATOR.read_answer(request, 503, {"Not-Executed": "1"})
        self.assertTrue(refused.not_run)
        self.assertFalse(TRANSLATOR.read_answer(request, 503, {}).not_run)
        misdirected = TRANSLATOR.read_answer(request, 421, {})
        self.assertTrue(misdirected.not_run and misdirected.misdirected)
