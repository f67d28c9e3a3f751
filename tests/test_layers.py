"""The layers of the package: imports lead only to lower layers, and the core contains no client syntax."""

import ast
import gc
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "gateusher"
LAYERS = {
    "base": 0,
    "policy": 1,
    "simulator": 2,
    "config": 3,
    "handover": 3,
    "discovery": 4,
    "upstream": 5,
    "rehearsal": 5,
    "membership": 5,
    "virtual": 0,
    "inherited_deadline": 0,
    "storage": 2,
    "leases": 3,
    "duties": 7,
    "core": 6,
    "node": 7,
    "listeners": 7,
    "client": 8,
    "load": 8,
    "daemon": 9,
    "asgi": 9,
    "blocking": 9,
    "httpx": 9,
    "cli": 10,
    "__main__": 11,
}
STAND_INS = "standins"  # outside the layers: imports only `base`, and only `cli` imports it


def parsed(path: Path) -> ast.Module:
    """Parse without garbage collections: CPython 3.11 fails if a finalizer's error is formatted meanwhile."""
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        gc.enable()


def imported_parts(path: Path) -> set[str]:
    """Return the parts of the package that a module imports, including imports for type checking."""
    parts = path.relative_to(PACKAGE).with_suffix("").parts
    found = set()
    for node in ast.walk(parsed(path)):
        if isinstance(node, ast.ImportFrom) and node.level:
            base = list(parts[: len(parts) - node.level])
            names = [node.module] if node.module else [alias.name for alias in node.names]
            found |= {".".join([*base, name]).split(".")[0] for name in names}
        elif isinstance(node, ast.ImportFrom | ast.Import):
            names = [node.module or ""] if isinstance(node, ast.ImportFrom) else [a.name for a in node.names]
            found |= {name.split(".")[1] for name in names if name.startswith("gateusher.")}
    return found


def test_imports_lead_to_lower_layers() -> None:
    import_count = 0
    for path in PACKAGE.rglob("*.py"):
        part = path.relative_to(PACKAGE).with_suffix("").parts[0]
        if part == "__init__":
            continue  # the public names, which are imported on first use
        for other in imported_parts(path) - {part}:
            import_count += 1
            if part == STAND_INS:
                assert other == "base", f"{path} imports {other}"
                continue
            if other == STAND_INS:
                assert part == "cli", f"{path} imports the stand-ins"
            else:
                assert LAYERS[other] < LAYERS[part], f"{path} imports {other}, which is not in a lower layer"
    assert import_count > 30


def test_core_contains_no_client_syntax() -> None:
    for path in (PACKAGE / "core").glob("*.py"):
        text = path.read_text()
        for word in ("HTTP/1", "Content-Length", "Transfer-Encoding", "Connection:", "Retry-After", "httptools"):
            assert word not in text, f"{path} contains {word}"


def modules() -> dict[str, Path]:
    """Return every module of the package by its name, packages by their `__init__`."""
    found = {}
    for path in PACKAGE.rglob("*.py"):
        parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported_modules(name: str, path: Path, known: dict[str, Path]) -> set[str]:
    """Return the package's modules that a module imports, including for type checking, without parent packages."""
    package = name.split(".") if path.name == "__init__.py" else name.split(".")[:-1]
    found = set()
    for node in ast.walk(parsed(path)):
        if isinstance(node, ast.ImportFrom):
            base = package[: len(package) - node.level + 1] if node.level else []
            source = ".".join([*base, *([node.module] if node.module else [])])
            members = {f"{source}.{alias.name}" for alias in node.names}
            found |= {member if member in known else source for member in members}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return {other for other in found - {name} if other in known and known[other].name != "__init__.py"}


def test_modules_have_no_import_cycles() -> None:
    known = modules()
    remaining = {name: imported_modules(name, path, known) for name, path in known.items()}
    assert sum(map(len, remaining.values())) > 500
    while True:
        done = {name for name, others in remaining.items() if not others}
        if not done:
            break
        remaining = {name: others - done for name, others in remaining.items() if name not in done}
    assert not remaining, f"import cycle among or above {sorted(remaining)}"
