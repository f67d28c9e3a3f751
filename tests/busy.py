"""Runs the test suite under CPU contention, with two busy processes per core: `make test-busy`.

A test whose result changes here depends on the machine's speed and is wrong.
"""

import os
import subprocess
import sys

BUSY_LOOP = "while True: pass"


def main() -> int:
    processes = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(2 * (os.cpu_count() or 1))]
    try:
        return subprocess.run([sys.executable, "-m", "pytest", "-q", *sys.argv[1:]], check=False).returncode
    finally:
        for process in processes:
            process.kill()
            process.wait()


if __name__ == "__main__":
    sys.exit(main())
