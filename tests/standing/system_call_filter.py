"""A system-call filter that rejects what the deployment environment rejects, and reports each rejected call.

It uses seccomp(2) and seccomp_unotify(2).  The process under test sets a filter on itself, for which it needs no
privileges (PR_SET_NO_NEW_PRIVS), passes the filter's listener to the test over a socket, and calls exec.  Each call
that the filter catches waits until the test has responded with ENOSYS, EINVAL or, for exec, permission to continue.
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

# From asm/unistd_64.h and asm-generic/unistd.h.
CALL_NUMBERS: dict[str, dict[str, int]] = {
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
AUDIT_ARCHITECTURES = {"x86_64": 0xC000003E, "aarch64": 0xC00000B7}  # linux/audit.h
SECCOMP_CALL_NUMBERS = {"x86_64": 317, "aarch64": 277}
EINVAL_CALLS = {"splice", "tee", "vmsplice"}  # fail with EINVAL, all others with ENOSYS
CLONE_THREAD = 0x10000
LOAD, JUMP_IF_EQUAL, JUMP_IF_ANY_SET, RETURN = 0x20, 0x15, 0x45, 0x06  # BPF: ld [k]; jeq; jset; ret
ALLOW, NOTIFY, ERRNO = 0x7FFF0000, 0x7FC00000, 0x00050000
CALL_NUMBER_OFFSET, ARCHITECTURE_OFFSET, ARG0_OFFSET = 0, 4, 16  # offsets in struct seccomp_data
RECEIVE_NOTIFICATION, SEND_RESPONSE = 0xC0502100, 0xC0182101  # SECCOMP_IOCTL_NOTIF_RECV, _SEND
CONTINUE = 1  # SECCOMP_USER_NOTIF_FLAG_CONTINUE
PR_SET_NO_NEW_PRIVS, SET_MODE_FILTER, NEW_LISTENER = 38, 1, 8


def _filter(machine: str, allow_unix_sockets: bool) -> bytes:
    """Return the BPF program.  It allows threads, IPv4 sockets and, with `allow_unix_sockets`, Unix sockets."""
    calls = CALL_NUMBERS[machine]
    code: list[tuple[int, int, int, int]] = [
        (LOAD, 0, 0, ARCHITECTURE_OFFSET),
        (JUMP_IF_EQUAL, 1, 0, AUDIT_ARCHITECTURES[machine]),
        (RETURN, 0, 0, ERRNO | errno.ENOSYS),
        (LOAD, 0, 0, CALL_NUMBER_OFFSET),
    ]
    # If clone3 fails, glibc falls back to clone, whose flags a filter can read.
    code += [(JUMP_IF_EQUAL, 0, 1, calls["clone3"]), (RETURN, 0, 0, ERRNO | errno.ENOSYS)]
    code += [
        (JUMP_IF_EQUAL, 0, 4, calls["clone"]),
        (LOAD, 0, 0, ARG0_OFFSET),
        (JUMP_IF_ANY_SET, 0, 1, CLONE_THREAD),
        (RETURN, 0, 0, ALLOW),
        (RETURN, 0, 0, NOTIFY),
    ]
    families = [socket.AF_INET, *([socket.AF_UNIX] if allow_unix_sockets else [])]
    code += [(JUMP_IF_EQUAL, 0, 3 + len(families), calls["socket"]), (LOAD, 0, 0, ARG0_OFFSET)]
    code += [(JUMP_IF_EQUAL, len(families) - i, 0, family) for i, family in enumerate(families)]
    code += [(RETURN, 0, 0, NOTIFY), (RETURN, 0, 0, ALLOW)]
    for name, number in calls.items():
        if name not in ("clone", "clone3", "socket"):
            code += [(JUMP_IF_EQUAL, 0, 1, number), (RETURN, 0, 0, NOTIFY)]
    code += [(RETURN, 0, 0, ALLOW)]
    return b"".join(struct.pack("HBBI", op, true, false, k) for op, true, false, k in code)


class _Program(ctypes.Structure):
    _fields_ = [("len", ctypes.c_ushort), ("filter", ctypes.c_void_p)]


def install(allow_unix_sockets: bool) -> int:
    """Set the filter on this process permanently and return its listener.

    Raises OSError if the kernel doesn't support it.
    """
    machine = platform.machine()
    code = _filter(machine, allow_unix_sockets)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = _Program(len(code) // 8, ctypes.addressof(buffer))
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0):
        raise OSError(ctypes.get_errno(), "prctl")
    listener: int = libc.syscall(SECCOMP_CALL_NUMBERS[machine], SET_MODE_FILTER, NEW_LISTENER, ctypes.byref(program))
    if listener < 0:
        raise OSError(ctypes.get_errno(), "seccomp")
    return listener


class SystemCallMonitor:
    """Responds to the calls that the filter catches, on its own thread, and records those it rejects."""

    def __init__(self) -> None:
        self.own_socket, self.child_socket = socket.socketpair()
        self.rejected: list[str] = []
        self.exec_count = 0
        self._names = {number: name for name, number in CALL_NUMBERS[platform.machine()].items()}
        self._wake, self._stop = os.pipe()
        self._thread = threading.Thread(target=self._serve)

    def command(self, command: str, allow_unix_sockets: bool = True) -> list[str]:
        """Return the arguments that run a shell command under the filter; the process must inherit `child_socket`."""
        return [
            sys.executable,
            "-S",
            "-m",
            __name__,
            str(self.child_socket.fileno()),
            str(int(allow_unix_sockets)),
            command,
        ]

    def start(self) -> None:
        """Begin to respond, after the process has been started."""
        self.child_socket.close()
        self._thread.start()

    def stop(self) -> None:
        os.close(self._stop)
        self._thread.join()
        os.close(self._wake)
        self.own_socket.close()

    def _serve(self) -> None:
        readable, _, _ = select.select([self.own_socket, self._wake], [], [])
        if self.own_socket not in readable:
            return
        _, fds, _, _ = socket.recv_fds(self.own_socket, 1, 1)
        if not fds:
            return
        (listener,) = fds
        poll = select.poll()
        poll.register(listener, select.POLLIN)
        poll.register(self._wake, select.POLLIN)
        while self._wake not in (ready := dict(poll.poll())) and ready[listener] & select.POLLIN:
            with suppress(OSError):  # the process was killed in the meantime
                self._respond(listener)
        os.close(listener)

    def _respond(self, listener: int) -> None:
        notification = array.array("B", bytes(80))
        fcntl.ioctl(listener, RECEIVE_NOTIFICATION, notification)
        number, _, _, call = struct.unpack_from("QIIi", notification)
        name = self._names[call]
        if name == "execve":
            self.exec_count += 1
            response = struct.pack("QqiI", number, 0, 0, CONTINUE)
        else:
            self.rejected.append(name)
            response = struct.pack("QqiI", number, 0, -(errno.EINVAL if name in EINVAL_CALLS else errno.ENOSYS), 0)
        fcntl.ioctl(listener, SEND_RESPONSE, response)


def main() -> None:
    socket_fd, allow_unix_sockets, command = int(sys.argv[1]), sys.argv[2] == "1", sys.argv[3]
    listener = install(allow_unix_sockets)
    with socket.socket(fileno=socket_fd) as parent:
        socket.send_fds(parent, [b"f"], [listener])
    os.close(listener)
    os.execv("/bin/sh", ["/bin/sh", "-c", command])


if __name__ == "__main__":
    main()
