"""`python -m checker explore|replay|mutant ...`: see docs/checker.md."""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from .mutants import MUTANTS, plant

# What is played for a verdict, cheapest first: face, effects in the order of their coming, and a bound on steps
# for every order, or a number of walks of a fixed length by fixed seeds.
EVERY_ORDER = ((("unsafe",), 4), (("keyed",), 4), (("safe",), 4), (("unsafe", "safe"), 3))
WALKS = ((("unsafe",), 14, 1500), (("keyed",), 14, 1000), (("safe", "unsafe"), 20, 1500),
         (("unsafe", "keyed", "safe"), 28, 1500))
FACES = ("library", "daemon")


def hunt(scale: float = 1.0, faces: tuple[str, ...] = FACES) -> dict[str, Any]:
    """Play all of it; the first failure, shortened, or the counts."""
    from .explore import Explorer, shorten  # noqa: PLC0415 - a mutant is planted before the program loads

    counts = {"states": 0, "transitions": 0, "executions": 0}
    moves: set[tuple[str, str, str]] = set()
    began = time.monotonic()
    jobs = [(f, e, d, 0) for e, d in EVERY_ORDER for f in faces]
    jobs += [(f, e, d, int(n * scale)) for e, d, n in WALKS for f in faces]
    for face, effects, depth, walks in jobs:
        explorer = Explorer(face, effects, depth)
        report = explorer.walk(walks) if walks else explorer.run()
        for key in counts:
            counts[key] += getattr(report, key)
        moves |= report.moves
        if report.failure:
            short = shorten(face, effects, report.story)
            return {"face": face, "effects": effects, "story": short.story, "broken": short.failure, **counts}
    return {**counts, "moves": sorted(moves), "seconds": time.monotonic() - began}


def say(found: dict[str, Any]) -> None:
    """A counterexample as a numbered story."""
    print(f"{found['face']}, requests {', '.join(found['effects'])}:")
    for number, line in enumerate(found["story"], 1):
        print(f"{number:4}. {line}")
    print("\n".join(found["broken"]))


def explore(args: argparse.Namespace) -> int:
    """Walks on and on, in several processes, until the minutes are over."""
    if args.workers > 1:
        words = [sys.executable, "-m", "checker", "explore", "--minutes", str(args.minutes), "--workers", "1"]
        running = [subprocess.Popen([*words, "--seed", str(i * 10**7)]) for i in range(args.workers)]
        return max(p.wait() for p in running)
    from .explore import Explorer, shorten  # noqa: PLC0415

    by, seed, total = time.monotonic() + args.minutes * 60, args.seed, 0
    while time.monotonic() < by:
        for effects, depth, _ in WALKS:
            for face in FACES:
                report = Explorer(face, effects, depth).walk(500, seed)
                total += report.executions
                if report.failure:
                    short = shorten(face, effects, report.story)
                    found = {"face": face, "effects": effects, "story": short.story, "broken": short.failure}
                    say(found)
                    path = Path(f"counterexample-{seed}.json")
                    path.write_text(json.dumps(found, indent=1))
                    print(f"written to {path}")
                    return 1
        seed += 500
    print(f"{total} executions, nothing broken")
    return 0


def check(args: argparse.Namespace) -> int:
    from .tables import unreached  # noqa: PLC0415

    found = hunt()
    if "story" in found:
        say(found)
        return 1
    print(f"{found['states']} states, {found['transitions']} transitions, {found['executions']} executions in "
          f"{found['seconds']:.0f} s, nothing broken")
    missing = unreached({tuple(m) for m in found["moves"]})
    print("moves of the tables not reached: " + ("none" if not missing else ""))
    for table, state, event in missing:
        print(f"  {table}: {event!r} while {state!r}")
    return 0


def replay(args: argparse.Namespace) -> int:
    from .explore import play  # noqa: PLC0415

    found = json.loads(Path(args.file).read_text())
    broken = play(found["face"], tuple(found["effects"]), *found["story"])
    say({**found, "broken": broken or ["nothing is broken any more"]})
    return 1 if broken else 0


def mutant(args: argparse.Namespace) -> int:
    """Plant one and hunt it; 0 where it is found."""
    plant(MUTANTS[args.number])
    found = hunt()
    print(json.dumps(found))
    return 0 if "story" in found else 1


def mutants(args: argparse.Namespace) -> int:
    """All of them, or each third, by several at a time."""
    numbers = range(0, len(MUTANTS), 3) if args.third else range(len(MUTANTS))

    def one(number: int) -> tuple[int, int, int]:
        words = [sys.executable, "-m", "checker", "mutant", str(number)]
        done = subprocess.run(words, capture_output=True, text=True, check=False)
        lines = done.stdout.splitlines()
        steps = len(json.loads(lines[-1]).get("story", ())) if lines else 0
        if not lines:
            print(done.stderr[-600:])
        return number, done.returncode, steps

    survived = 0
    with ThreadPoolExecutor(args.workers) as pool:
        for number, code, steps in pool.map(one, numbers):
            survived += code != 0
            verdict = "SURVIVED" if code else f"found in {steps:2} steps"
            print(f"{number:3} {verdict:17} {MUTANTS[number].what}", flush=True)
    print(f"{len(numbers) - survived} of {len(numbers)} found")
    return 1 if survived else 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="checker")
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("check", help="a fixed amount, the same each time").set_defaults(run=check)
    going = commands.add_parser("explore", help="on and on, by seeds never played")
    going.add_argument("--minutes", type=float, default=1.0)
    going.add_argument("--workers", type=int, default=1)
    going.add_argument("--seed", type=int, default=10**6)
    going.set_defaults(run=explore)
    again = commands.add_parser("replay", help="play a counterexample's file again")
    again.add_argument("file")
    again.set_defaults(run=replay)
    one = commands.add_parser("mutant", help="plant one fault and hunt it")
    one.add_argument("number", type=int)
    one.set_defaults(run=mutant)
    some = commands.add_parser("mutants", help="plant each in turn")
    some.add_argument("--third", action="store_true")
    some.add_argument("--workers", type=int, default=2)
    some.set_defaults(run=mutants)
    args = parser.parse_args()
    return int(args.run(args))


if __name__ == "__main__":
    sys.exit(main())
