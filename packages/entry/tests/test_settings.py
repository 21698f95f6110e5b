"""Tests of the settings and of the command line."""

import pathlib
import tempfile
import unittest

from click import testing

from sassafrasway_core import errors
from sassafrasway_entry import main, settings

_VALID = """
[instance]
name = "bkk-a-1"
region = "bkk"
failure_domain = "bkk-a"
[listen]
caller = "127.1.1.1:8080"
rpc = "127.1.1.1:7000"
admin = "127.1.1.1:9000"
[platform]
url = "http://127.1.0.1:8500"
"""


class SettingsTest(unittest.TestCase):
    """Guards against invalid settings that are accepted or reported without what is wrong."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "entry.toml"

    def _write(self, text):
        self.path.write_text(text, encoding="utf-8")

    def test_optional_settings_may_be_left_out(self):
        """Guards against rejecting a file that leaves out all optional settings."""
        self._write(_VALID)
        self.assertEqual(settings.load(self.path).platform.timeout_ms, 1000)

    def test_problems_name_file_key_and_unit(self):
        """Guards against messages that do not say which key is wrong or what it expects."""
        cases = {
            "listen.caller": _VALID.replace("127.1.1.1:8080", "localhost:8080"),
            "platform.timeout_ms": _VALID + "timeout_ms = -1\n",
            "instance.colour": _VALID.replace("[listen]", 'colour = "red"\n[listen]'),
            "listen.rpc": _VALID.replace('rpc = "127.1.1.1:7000"\n', ""),
        }
        for key, text in cases.items():
            with self.subTest(key=key):
                self._write(text)
                with self.assertRaises(errors.ValidationError) as caught:
                    settings.load(self.path)
                self.assertIn(f"{self.path}: {key}: ", caught.exception.message)
        self._write(cases["platform.timeout_ms"])
        with self.assertRaisesRegex(errors.ValidationError, "milliseconds"):
            settings.load(self.path)

    def test_all_problems_are_listed(self):
        """Guards against reporting only the first of several problems.

        An operator would have to run check-config once for each wrong key.
        """
        self._write(_VALID.replace("127.1.1.1:8080", "x").replace("127.1.1.1:9000", "y"))
        with self.assertRaises(errors.ValidationError) as caught:
            settings.load(self.path)
        self.assertEqual(len(caught.exception.message.splitlines()), 2)

    def test_check_config_exit_codes(self):
        """Guards against an exit code that reports invalid settings as valid.

        A script that runs check-config first would then start an instance with them.
        """
        runner = testing.CliRunner()
        self._write(_VALID)
        good = runner.invoke(main.cli, ["check-config", "--config", str(self.path)])
        self._write("instance = 3")
        bad = runner.invoke(main.cli, ["check-config", "--config", str(self.path)])
        absent = runner.invoke(main.cli, ["check-config", "--config", "/absent.toml"])
        self.assertEqual((good.exit_code, bad.exit_code, absent.exit_code), (0, 2, 2))


if __name__ == "__main__":
    unittest.main()
