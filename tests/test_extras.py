"""A command whose extra is not installed says which one, in a line; held in an environment that has none of them."""

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
NAME_END = r"[=<>!~\[ ;(]"
TRIED = {
    "run": [],
    "check": ["FILE"],
    "try": ["--seconds", "0.2", "--rate", "20"],
    "replay": ["x", "--target", "127.0.0.1:9"],
    "inspect": ["FILE"],
    "members": ["--at", "/nowhere"],
    "duty": ["list", "--at", "/nowhere"],
}


def _packages() -> set[str]:
    """What a plain installation brings, with all that it needs itself."""
    found, todo = set[str](), [re.split(NAME_END, line)[0] for line in PROJECT["dependencies"]]
    while todo:
        name = re.sub(r"[-_.]+", "-", todo.pop()).lower()
        if name not in found:
            found.add(name)
            for line in metadata.requires(name) or []:
                if "extra ==" not in line and "python_version <" not in line and "win32" not in line:
                    todo.append(re.split(NAME_END, line)[0])
    return found


@pytest.fixture(scope="module")
def python(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """An interpreter with the plain packages alone."""
    folder = tmp_path_factory.mktemp("plain")
    venv.create(folder / "env", with_pip=False, symlinks=True)
    place = next((folder / "env" / "lib").iterdir()) / "site-packages"
    for name in _packages():
        dist = metadata.distribution(name)
        for top in {Path(f).parts[0] for f in dist.files or [] if not str(f).startswith(("..", "__pycache__"))}:
            target = Path(str(dist.locate_file(top)))
            if not (place / top).exists():
                (place / top).symlink_to(target)
    return folder / "env" / "bin" / "python"


def test_the_environment_has_no_extras(python: Path) -> None:
    code = "import click, httptools, msgspec, rich, uvloop, pythonjsonlogger"
    assert subprocess.run([python, "-c", code], check=False).returncode == 0
    for name in ("ijson", "zstandard", "hdrh", "jinja2", "matplotlib", "httpx"):
        done = subprocess.run([python, "-c", f"import {name}"], capture_output=True, check=False)
        assert done.returncode == 1, name


def test_every_command_is_tried() -> None:
    assert set(TRIED) == set(gateusher.commands)


@pytest.mark.parametrize("name", TRIED)
def test_each_command_works_or_names_its_extra(python: Path, name: str, tmp_path: Path) -> None:
    file = tmp_path / "x.json"
    file.write_text("{}")
    words = [str(file) if word == "FILE" else word for word in TRIED[name]]
    done = subprocess.run(
        [python, "-m", "gateusher", name, *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=HANG_TIMEOUT_S,
        check=False,
    )
    assert "Traceback" not in done.stderr
    if name in ("replay", "inspect"):
        assert done.returncode == 2
        assert re.fullmatch(r"gateusher: \w+ is not installed: pip install 'gateusher\[load\]'\n", done.stderr)
    else:
        assert "is not installed" not in done.stderr


def test_a_voter_with_a_folder_names_its_extra_and_one_without_needs_none(python: Path, tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "duties.example.toml").read_text().replace("10.0.0.", "127.99.98.")
    text = text.replace("/run/gateusher/s1.sock", str(tmp_path / "s1.sock"))
    path = tmp_path / "s1.toml"
    for memory, said in ((f'folder = "{tmp_path}/votes"', "google_crc32c is not installed"), ("diskless = true", "")):
        path.write_text(text.replace('folder = "/var/lib/gateusher/s1"', memory))
        words = [str(python), "-m", "gateusher", "run", "--config", str(path)]
        if said:
            done = subprocess.run(
                words, cwd=ROOT, capture_output=True, text=True, timeout=HANG_TIMEOUT_S, check=False
            )
            assert done.returncode == 2 and said in done.stderr and "gateusher[leases]" in done.stderr
            continue
        with subprocess.Popen(words, cwd=ROOT, stderr=subprocess.PIPE, text=True) as process:
            by = time.monotonic() + HANG_TIMEOUT_S
            asked = [sys.executable, "-m", "gateusher", "duty", "list", "--at", str(tmp_path / "s1.sock")]
            # Its socket is there before its signals are: whoever answers takes them.
            while (
                subprocess.run(asked, cwd=ROOT, capture_output=True, check=False).returncode
                and process.poll() is None
                and time.monotonic() < by
            ):
                time.sleep(0.02)
            process.terminate()
            assert process.wait(HANG_TIMEOUT_S) == 0 and process.stderr and "Traceback" not in process.stderr.read()


def test_the_extras_are_those_of_the_project() -> None:
    extras = PROJECT["optional-dependencies"]
    for name, lines in extras.items():
        for line in [] if name == "dev" else lines:
            assert extra_of(line.split("==")[0]) == name
    assert extra_of("hdrh.histogram") == "load"
    assert extra_of("no_such_module") is None
