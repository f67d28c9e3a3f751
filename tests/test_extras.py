"""A command whose extra is not installed names the extra in one line; tested in an environment without extras."""

import re
import subprocess
import sys
import time
import tomllib
import venv
from importlib import metadata
from pathlib import Path

import pytest

from gateusher.cli.commands import gateusher
from gateusher.cli.extras import extra_of

from .helpers import HANG_TIMEOUT_S

ROOT = Path(__file__).parent.parent
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
REQUIREMENT_NAME_END = r"[=<>!~\[ ;(]"
COMMAND_ARGUMENTS = {
    "run": [],
    "check": ["FILE"],
    "try": ["--seconds", "0.2", "--rate", "20"],
    "replay": ["x", "--target", "127.0.0.1:9"],
    "inspect": ["FILE"],
    "members": ["--at", "/nowhere"],
    "duty": ["list", "--at", "/nowhere"],
}


def _required_packages() -> set[str]:
    """Return the packages that an installation without extras requires, directly or not."""
    found, pending = set[str](), [re.split(REQUIREMENT_NAME_END, line)[0] for line in PROJECT["dependencies"]]
    while pending:
        name = re.sub(r"[-_.]+", "-", pending.pop()).lower()
        if name not in found:
            found.add(name)
            for line in metadata.requires(name) or []:
                if "extra ==" not in line and "python_version <" not in line and "win32" not in line:
                    pending.append(re.split(REQUIREMENT_NAME_END, line)[0])
    return found


@pytest.fixture(scope="module")
def python(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return an interpreter whose environment has the required packages only."""
    folder = tmp_path_factory.mktemp("plain")
    venv.create(folder / "env", with_pip=False, symlinks=True)
    site_packages = next((folder / "env" / "lib").iterdir()) / "site-packages"
    for name in _required_packages():
        dist = metadata.distribution(name)
        for top in {Path(f).parts[0] for f in dist.files or [] if not str(f).startswith(("..", "__pycache__"))}:
            target = Path(str(dist.locate_file(top)))
            if not (site_packages / top).exists():
                (site_packages / top).symlink_to(target)
    return folder / "env" / "bin" / "python"


def test_the_environment_has_no_extras(python: Path) -> None:
    code = "import click, httptools, msgspec, rich, uvloop, pythonjsonlogger"
    assert subprocess.run([python, "-c", code], check=False).returncode == 0
    for name in ("ijson", "zstandard", "hdrh", "jinja2", "matplotlib", "httpx"):
        result = subprocess.run([python, "-c", f"import {name}"], capture_output=True, check=False)
        assert result.returncode == 1, name


def test_every_command_is_listed() -> None:
    assert set(COMMAND_ARGUMENTS) == set(gateusher.commands)


@pytest.mark.parametrize("name", COMMAND_ARGUMENTS)
def test_each_command_works_or_names_its_extra(python: Path, name: str, tmp_path: Path) -> None:
    file = tmp_path / "x.json"
    file.write_text("{}")
    arguments = [str(file) if word == "FILE" else word for word in COMMAND_ARGUMENTS[name]]
    result = subprocess.run(
        [python, "-m", "gateusher", name, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=HANG_TIMEOUT_S,
        check=False,
    )
    assert "Traceback" not in result.stderr
    if name in ("replay", "inspect"):
        assert result.returncode == 2
        assert re.fullmatch(r"gateusher: \w+ is not installed: pip install 'gateusher\[load\]'\n", result.stderr)
    else:
        assert "is not installed" not in result.stderr


def test_a_voter_with_a_folder_names_its_extra_and_a_diskless_one_needs_none(python: Path, tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "duties.example.toml").read_text().replace("10.0.0.", "127.99.98.")
    text = text.replace("/run/gateusher/s1.sock", str(tmp_path / "s1.sock"))
    path = tmp_path / "s1.toml"
    for storage, message in (
        (f'folder = "{tmp_path}/votes"', "google_crc32c is not installed"),
        ("diskless = true", ""),
    ):
        path.write_text(text.replace('folder = "/var/lib/gateusher/s1"', storage))
        command = [str(python), "-m", "gateusher", "run", "--config", str(path)]
        if message:
            result = subprocess.run(
                command, cwd=ROOT, capture_output=True, text=True, timeout=HANG_TIMEOUT_S, check=False
            )
            assert result.returncode == 2 and message in result.stderr and "gateusher[leases]" in result.stderr
            continue
        with subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True) as process:
            until_s = time.monotonic() + HANG_TIMEOUT_S
            list_command = [sys.executable, "-m", "gateusher", "duty", "list", "--at", str(tmp_path / "s1.sock")]
            # The socket opens before the signal handlers are set; once the voter responds, they are set.
            while (
                subprocess.run(list_command, cwd=ROOT, capture_output=True, check=False).returncode
                and process.poll() is None
                and time.monotonic() < until_s
            ):
                time.sleep(0.02)
            process.terminate()
            assert process.wait(HANG_TIMEOUT_S) == 0 and process.stderr and "Traceback" not in process.stderr.read()


def test_each_dependency_of_an_extra_names_that_extra() -> None:
    extras = PROJECT["optional-dependencies"]
    for name, lines in extras.items():
        for line in [] if name == "dev" else lines:
            assert extra_of(line.split("==")[0]) == name
    assert extra_of("hdrh.histogram") == "load"
    assert extra_of("no_such_module") is None
