"""The commands: exit codes and both output formats; and that the platform's sender imports none of them."""

import json
import pathlib
import shutil
import subprocess
import sys

import pytest
from click.testing import CliRunner

from scalefall.cli import logs
from scalefall.cli.main import main

ROOT = pathlib.Path(__file__).parent.parent
BROKEN = ROOT / "tests" / "lang" / "broken"
EXAMPLE = ROOT / "example"


def call(*words, code=0, input=None, **environ):
    result = CliRunner().invoke(main, list(map(str, words)), input=input, env=environ, prog_name="scalefall")
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    assert result.exit_code == code, result.output
    return result


@pytest.fixture
def site(tmp_path):
    shutil.copytree(EXAMPLE, tmp_path / "site")
    return tmp_path / "site" / "site.scale"


def test_check_exits_with_0_if_valid_1_on_errors_and_2_if_it_cannot_run(tmp_path):
    assert call("check", EXAMPLE).output.endswith("0 errors, 0 warnings\n")
    assert "3ms, 3s or 3min" in call("check", BROKEN / "duration-without-unit", code=1).output
    assert "No such file" in call("check", tmp_path / "none.scale", code=2).output
    call("check", tmp_path, code=2)
    call("check", code=2, SCALEFALL_CONFIG=str(tmp_path))
    assert call("check", BROKEN / "suspicious").output.endswith("0 errors, 10 warnings\n")
    call("check", "--strict", BROKEN / "suspicious", code=1)


def test_check_prints_json_for_editors():
    table = json.loads(call("check", "--format", "json", BROKEN / "same-name-twice", code=1).output)
    first = table["problems"][0]
    assert (table["errors"], first["code"], first["line"], first["column"]) == (5, "twice", 1, 1)
    assert first["also"][0]["text"] == "first here"
    assert first["file"].endswith("more.scale")


def test_colours_are_printed_only_on_request():
    assert "\x1b[" not in call("check", BROKEN / "crlf", code=1).output
    assert "\x1b[" in call("check", "--color", "always", BROKEN / "crlf", code=1).output


def test_fmt_formats_in_place_and_changes_nothing_with_check_or_diff(site):
    text = site.read_text()
    site.write_text(text.replace("  name demo", "\tname    demo;;"))
    assert "would change" in call("fmt", "--check", site.parent, code=1).output
    assert "-\tname    demo;;" in call("fmt", "--diff", site, code=1).output
    assert "\t" in site.read_text()
    call("fmt", site.parent)
    assert site.read_text() == call("fmt", "-", input=text).output
    call("fmt", "--check", site.parent)
    site.write_text("pool a {")
    assert "never closed" in call("fmt", site, code=1).output
    assert site.read_text() == "pool a {"
    call("fmt", site.parent / "none.scale", code=2)


def test_diff_exits_with_0_if_equal_1_on_changes_2_if_it_cannot_run_and_3_if_dangerous(site):
    assert call("diff", EXAMPLE, site).output == "no change of meaning\n"
    text = site.read_text()
    site.write_text(text.replace("attempts 4", "attempts 5"))
    assert "attempts of careful: 4 -> 5 (route 7)" in call("diff", EXAMPLE, site, code=1).output
    site.write_text(text.replace("at-most 3s", "at-most 3ms"))
    table = json.loads(call("diff", "--format", "json", EXAMPLE, site, code=3).output)
    assert table["dangerous"]
    assert [change["old"] for change in table["changes"]] == ["at-most 3s", "at-most 3s"]
    site.write_text("pool {")
    assert "no meaning to compare" in call("diff", EXAMPLE, site, code=2).output
    call("diff", EXAMPLE, code=2)
    call("diff", EXAMPLE, EXAMPLE, EXAMPLE, code=2)


def test_diff_compares_git_revisions(site):
    def git(*words):
        subprocess.run(
            ["git", "-C", site.parent, "-c", "user.name=t", "-c", "user.email=t@t", *words],
            check=True,
            capture_output=True,
        )

    git("init", "-q")
    git("add", "-A")
    git("commit", "-qm", "one")
    assert call("diff", "--git", "HEAD", site).output == "no change of meaning\n"
    partner = site.parent / "partners" / "pojistovna.scale"
    partner.write_text(partner.read_text().replace("limit 5 per 1s", "limit 50 per 1s"))
    assert "5 per 1s -> 50 per 1s, 10 times higher" in call("diff", "--git", "HEAD", site.parent, code=3).output
    git("commit", "-qam", "two")
    call("diff", "--git", "HEAD~1", "--git", "HEAD", site, code=3)
    call("diff", "--git", "HEAD", "--git", "HEAD~1", site, code=1)
    assert "revision" in call("diff", "--git", "none", site, code=2).output
    assert "Traceback" not in call("diff", "--git", "HEAD", site.parent.parent, code=2).output


def test_explain_names_the_file_and_line_of_each_value(site):
    text = call("explain", "7", "--config", site).output
    assert any(line.split() == ["attempts", "4", f"{site}:16", "(policy", "careful)"] for line in text.splitlines())
    rows = json.loads(call("explain", "9", "--format", "json", SCALEFALL_CONFIG=str(site)).output)["rows"]
    assert {"part": "policy", "text": "attempts 6", "origin": "policy default", "file": str(site), "line": 15} in rows
    assert "has no route 8; it has 7, 9" in call("explain", "8", "--config", site, code=2).output


def test_import_and_compile_keep_the_settings_of_the_platforms_json(tmp_path):
    text, output = tmp_path / "site.scale", tmp_path / "config.json"
    call("import", EXAMPLE / "config.json", "-o", text)
    call("check", "--strict", text)
    call("compile", text, "-o", output)
    from scalefall.settings_reader import read_settings

    was, now = (json.loads(path.read_text()) for path in (EXAMPLE / "config.json", output))
    assert read_settings(was["settings"]) == read_settings(now["settings"])
    result = call("compile", EXAMPLE)
    assert "connections of pool pojistovna" in result.stderr
    assert json.loads(result.stdout)["name"] == "demo"
    (tmp_path / "bad.json").write_text('{\n "settings": }')
    assert "bad.json:2:14" in call("import", tmp_path / "bad.json", code=2).output
    (tmp_path / "bad.json").write_text('{"settings": {"caps": 1}}')
    assert "settings" in call("import", tmp_path / "bad.json", code=2).output
    call("import", tmp_path / "none.json", code=2)


def test_the_deployment_file_is_valid_and_has_the_classes_of_the_platforms_settings(tmp_path):
    call("check", "--strict", ROOT / "deploy" / "site.scale")
    call("compile", ROOT / "deploy" / "site.scale", "-o", tmp_path / "config.json")
    from scalefall.settings_reader import read_settings

    was, now = (
        read_settings(json.loads(path.read_text())["settings"])
        for path in (EXAMPLE / "config.json", tmp_path / "config.json")
    )
    assert now.classes == was.classes
    assert now.max_attempts == was.max_attempts
    assert now.slow_start_us == was.slow_start_us


def test_run_names_the_option_or_setting_that_prevents_a_start(tmp_path):
    assert (
        "3ms, 3s or 3min"
        in call("run", "--config", BROKEN / "duration-without-unit", "--state", tmp_path, code=1).output
    )
    assert "not a folder" in call("run", "--config", EXAMPLE, "--state", tmp_path / "none", code=2).output
    assert (
        "an address and a port" in call("run", "--config", EXAMPLE, "--state", tmp_path, "--listen", "x", code=2).output
    )
    assert "--state" in call("run", "--config", EXAMPLE, code=2).output


def test_every_command_has_help_with_an_example_and_every_shell_a_completion_script():
    for name, command in main.commands.items():
        text = call(name, "--help").output
        assert "Example" in text
        assert f"scalefall {name}" in text
        assert all(f"SCALEFALL_{parameter.name.upper()}" or parameter.envvar for parameter in command.params)
    for shell in ("bash", "zsh", "fish"):
        assert "_SCALEFALL_COMPLETE" in call("completion", shell).output


def test_the_event_name_is_the_constant_start_of_a_log_line():
    assert [
        logs.event_name(text)
        for text in (
            "accepted %s: class %s, destination %d, %d ms left",
            "ready: %s at %s:%d",
            "engine: %s",
            "shutdown started: %d pending messages",
            "configuration not taken, the old settings stay: %s",
            "requests rejected: %d more",
        )
    ] == [
        "accepted",
        "ready",
        "engine",
        "shutdown started",
        "configuration not taken, the old settings stay",
        "requests rejected",
    ]


def test_the_platforms_sender_imports_neither_parser_nor_command_line():
    code = (
        "import sys, scalefall.__main__, scalefall.net.sender; "
        "print([m for m in ('lark', 'click', 'structlog', 'netaddr', 'scalefall.lang', 'scalefall.cli') "
        "if m in sys.modules])"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True).stdout == "[]\n"
