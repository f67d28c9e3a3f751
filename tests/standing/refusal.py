"""A system-call filter that refuses what the trial refuses, and tells the test each call that was refused.

seccomp(2) and seccomp_unotify(2): the process that is to be held sets a filter on itself, without rights
(PR_SET_NO_NEW_PRIVS), passes the filter's listener to the test over a socket, and goes on by exec.  Each call
that the filter catches waits until the test has answered ENOSYS, EINVAL or, for exec, "go on".
"""

import array
import ctypes
import errno
import fcntl
import os
import platform
import select
import socket
import struct
import sys
import threading
from contextlib import suppress

# Numbers of the calls: asm/unistd_64.h and asm-generic/unistd.h.
CALLS: dict[str, dict[str, int]] = {
    "x86_64": {
        "clone": 56,
        "fork": 57,
        "vfork": 58,
        "clone3": 435,
        "execve": 59,
        "execveat": 322,
        "sendfile": 40,
        "splice": 275,
        "tee": 276,
        "vmsplice": 278,
        "io_uring_setup": 425,
        "io_uring_enter": 426,
        "io_uring_register": 427,
        "socket": 41,
    },
    "aarch64": {
        "clone": 220,
        "clone3": 435,
        "execve": 221,
        "execveat": 281,
        "sendfile": 71,
        "splice": 76,
        "tee": 77,
        "vmsplice": 75,
        "io_uring_setup": 425,
        "io_uring_enter": 426,
        "io_uring_register": 427,
        "socket": 198,
    },
}
ARCH = {"x86_64": 0xC000003E, "aarch64": 0xC00000B7}  # linux/audit.h
SECCOMP = {"x86_64": 317, "aarch64": 277}
EINVALID = {"splice", "tee", "vmsplice"}  # answered EINVAL, all others ENOSYS
CLONE_THREAD = 0x10000
LOAD, EQUAL, ANY, RETURN = 0x20, 0x15, 0x45, 0x06  # BPF: ld [k]; jeq; jset; ret
ALLOW, NOTIFY, ERRNO = 0x7FFF0000, 0x7FC00000, 0x00050000
NR, ARCHITECTURE, ARG0 = 0, 4, 16  # offsets in struct seccomp_data
RECEIVE, ANSWER = 0xC0502100, 0xC0182101  # SECCOMP_IOCTL_NOTIF_RECV, _SEND
GO_ON = 1  # SECCOMP_USER_NOTIF_FLAG_CONTINUE
PR_SET_NO_NEW_PRIVS, SET_MODE_FILTER, NEW_LISTENER = 38, 1, 8


def _filter(machine: str, unix: bool) -> bytes:
    """The program: threads, and TCP and UDP over IPv4, are let through; Unix sockets only with `unix`."""
    calls = CALLS[machine]
    code: list[tuple[int, int, int, int]] = [
        (LOAD, 0, 0, ARCHITECTURE),
        (EQUAL, 1, 0, ARCH[machine]),
        (RETURN, 0, 0, ERRNO | errno.ENOSYS),
        (LOAD, 0, 0, NR),
    ]
    # glibc takes the refusal of clone3 as a call to use clone, whose flags a filter can read.
    code += [(EQUAL, 0, 1, calls["clone3"]), (RETURN, 0, 0, ERRNO | errno.ENOSYS)]
    code += [
        (EQUAL, 0, 4, calls["clone"]),
        (LOAD, 0, 0, ARG0),
        (ANY, 0, 1, CLONE_THREAD),
        (RETURN, 0, 0, ALLOW),
        (RETURN, 0, 0, NOTIFY),
    ]
    families = [socket.AF_INET, *([socket.AF_UNIX] if unix else [])]
    code += [(EQUAL, 0, 3 + len(families), calls["socket"]), (LOAD, 0, 0, ARG0)]
    code += [(EQUAL, len(families) - i, 0, family) for i, family in enumerate(families)]
    code += [(RETURN, 0, 0, NOTIFY), (RETURN, 0, 0, ALLOW)]
    for name, number in calls.items():
        if name not in ("clone", "clone3", "socket"):
            code += [(EQUAL, 0, 1, number), (RETURN, 0, 0, NOTIFY)]
    code += [(RETURN, 0, 0, ALLOW)]
    return b"".join(struct.pack("HBBI", op, true, false, k) for op, true, false, k in code)


class _Program(ctypes.Structure):
    _fields_ = [("len", ctypes.c_ushort), ("filter", ctypes.c_void_p)]


def install(unix: bool) -> int:
    """Set the filter on this process for good; its listener.  Raises OSError where the kernel has none."""
    machine = platform.machine()
    code = _filter(machine, unix)
    held = ctypes.create_string_buffer(code, len(code))
    program = _Program(len(code) // 8, ctypes.addressof(held))
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0):
        raise OSError(ctypes.get_errno(), "prctl")
    listener: int = libc.syscall(SECCOMP[machine], SET_MODE_FILTER, NEW_LISTENER, ctypes.byref(program))
    if listener < 0:
        raise OSError(ctypes.get_errno(), "seccomp")
    return listener


class Watch:
    """Answers what the filter catches, on a thread of its own, and keeps the names of the calls."""

    def __init__(self) -> None:
        self.mine, self.theirs = socket.socketpair()
        self.refused: list[str] = []
        self.programs = 0  # how many programs were begun, by exec in the same process
        self._names = {number: name for name, number in CALLS[platform.machine()].items()}
        self._wake, self._stop = os.pipe()
        self._thread = threading.Thread(target=self._answer)

    def command(self, command: str, unix: bool = True) -> list[str]:
        """What starts `command` by the shell under the filter; `theirs` must be passed on to it."""
        return [sys.executable, "-S", "-m", __name__, str(self.theirs.fileno()), str(int(unix)), command]

    def begin(self) -> None:
        """The process has been started."""
        self.theirs.close()
        self._thread.start()

    def end(self) -> None:
        os.close(self._stop)
        self._thread.join()
        os.close(self._wake)
        self.mine.close()

    def _answer(self) -> None:
        waiting, _, _ = select.select([self.mine, self._wake], [], [])
        if self.mine not in waiting:
            return
        _, fds, _, _ = socket.recv_fds(self.mine, 1, 1)
        if not fds:
            return
        (listener,) = fds
        poll = select.poll()
        poll.register(listener, select.POLLIN)
        poll.register(self._wake, select.POLLIN)
        while self._wake not in (ready := dict(poll.poll())) and ready[listener] & select.POLLIN:
            with suppress(OSError):  # it was killed meanwhile
                self._one(listener)
        os.close(listener)

    def _one(self, listener: int) -> None:
        notice = array.array("B", bytes(80))
        fcntl.ioctl(listener, RECEIVE, notice)
        number, _, _, call = struct.unpack_from("QIIi", notice)
        name = self._names[call]
        if name == "execve":
            self.programs += 1
            answer = struct.pack("QqiI", number, 0, 0, GO_ON)
        else:
            self.refused.append(name)
            answer = struct.pack("QqiI", number, 0, -(errno.EINVAL if name in EINVALID else errno.ENOSYS), 0)
        fcntl.ioctl(listener, ANSWER, answer)


def main() -> None:
    place, unix, command = int(sys.argv[1]), sys.argv[2] == "1", sys.argv[3]
    listener = install(unix)
    with socket.socket(fileno=place) as line:
        socket.send_fds(line, [b"f"], [listener])
    os.close(listener)
    os.execv("/bin/sh", ["/bin/sh", "-c", command])


if __name__ == "__main__":
    main()
