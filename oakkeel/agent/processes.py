"""The processes of instances: made, found again, watched to their end, signalled. No pid is believed alone.

Each process holds a lock on its instance's lock file from before its first moment to its last: whoever can
take that lock knows that no process of the instance is left, whatever became of the agent that made it.
Signals go through a pidfd, opened before it is checked whose it is, so that a pid used again is never
signalled.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import signal
import subprocess
from collections.abc import Callable
from dataclasses import dataclass

# Writes the pid before the program begins: an agent that ends in between finds it there all the same.
SHELL = 'echo "$$ $OAKKEEL_GENERATION" >"$OAKKEEL_PID_FILE" && unset OAKKEEL_PID_FILE && exec "$@"'
LOG_MOST = 4 * 1024 * 1024  # bytes of an instance's log before the next start begins another


@dataclass(slots=True, eq=False)
class Process:
    """One process that holds its instance's lock."""

    name: str
    pid: int
    start_ticks: int  # when it began, in ticks of the clock since the boot
    generation: int
    pidfd: int


class ProcessError(OSError):
    """No process came of it; the text says why."""


class Processes:
    """In one folder of the host: `NAME.lock`, `NAME.pid`, `NAME.sock` and `NAME.log` for each instance."""

    def __init__(self, folder: str, on_exit: Callable[[Process, str], None]) -> None:
        """`ended` is told once of each process, with how it ended."""
        self.folder, self.on_exit = folder, on_exit
        self.watched: dict[int, Process] = {}  # by pidfd

    def path(self, name: str, ending: str) -> str:
        """The path of an instance's file with that ending."""
        return os.path.join(self.folder, f"{name}.{ending}")

    def spawn(self, name: str, generation: int, argv: list[str], variables: dict[str, str]) -> Process:
        """Start a process of the instance. Raises ProcessError, also where one is still there."""
        lock = self._lock(name)
        if lock < 0:
            raise ProcessError("a process of it is still there")
        log = self.path(name, "log")
        try:
            with contextlib.suppress(FileNotFoundError):
                if os.path.getsize(log) > LOG_MOST:
                    os.replace(log, log + ".1")
            with open(log, "ab") as out:
                given = {
                    **variables,
                    "OAKKEEL_GENERATION": str(generation),
                    "OAKKEEL_PID_FILE": self.path(name, "pid"),
                }
                child = subprocess.Popen(
                    ["/bin/sh", "-c", SHELL, "sh", *argv],
                    env=given,
                    pass_fds=(lock,),
                    stdin=subprocess.DEVNULL,
                    stdout=out,
                    stderr=out,
                    start_new_session=True,
                )
        except OSError as error:
            raise ProcessError(str(error)) from None
        finally:
            os.close(lock)  # the child holds it
        child.returncode = 0  # it is waited for here, not by its destructor
        pidfd = os.pidfd_open(child.pid)
        return self._watch(Process(name, child.pid, started(child.pid), generation, pidfd))

    def is_running(self, name: str) -> bool:
        """Whether some process of the instance is there."""
        lock = self._lock(name)
        if lock >= 0:
            os.close(lock)
        return lock < 0

    def read_pid_file(self, name: str) -> tuple[int, int]:
        """The pid and generation of the last process that began; zeros where none is known."""
        try:
            with open(self.path(name, "pid"), encoding="ascii") as file:
                pid, generation = file.read(64).split()
                return int(pid), int(generation)
        except (OSError, ValueError):
            return 0, 0

    def adopt(self, name: str) -> Process | None:
        """The process that an earlier agent made, once it is certain which one it is."""
        pid, generation = self.read_pid_file(name)
        if not pid:
            return None
        try:
            pidfd = os.pidfd_open(pid)
        except OSError:
            return None
        if not self._has_lock_open(pid, name):  # that pid is somebody else's by now
            os.close(pidfd)
            return None
        return self._watch(Process(name, pid, started(pid), generation, pidfd))

    def signal(self, process: Process, number: signal.Signals) -> bool:
        """Whether it could be signalled: False where it has ended."""
        if process.pidfd not in self.watched or started(process.pid) != process.start_ticks:
            return False
        try:
            signal.pidfd_send_signal(process.pidfd, number)
        except ProcessLookupError:
            return False
        return True

    def _lock(self, name: str) -> int:
        """A descriptor that holds the lock, -1 where another process has it."""
        lock = os.open(self.path(name, "lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            return -1
        return lock

    def _has_lock_open(self, pid: int, name: str) -> bool:
        wanted = os.stat(self.path(name, "lock"))
        try:
            for number in os.listdir(f"/proc/{pid}/fd"):
                with contextlib.suppress(OSError):
                    found = os.stat(f"/proc/{pid}/fd/{number}")
                    if (found.st_dev, found.st_ino) == (wanted.st_dev, wanted.st_ino):
                        return True
        except OSError:
            pass
        return False

    def _watch(self, process: Process) -> Process:
        self.watched[process.pidfd] = process
        asyncio.get_running_loop().add_reader(process.pidfd, self._exited, process)
        return process

    def _exited(self, process: Process) -> None:
        self._unwatch(process)
        why = "ended while another was its parent"
        with contextlib.suppress(ChildProcessError):
            _, status = os.waitpid(process.pid, os.WNOHANG)
            code = os.waitstatus_to_exitcode(status)
            why = f"exit code {code}" if code >= 0 else f"killed by {signal.Signals(-code).name}"
        self.on_exit(process, why)

    def _unwatch(self, process: Process) -> None:
        asyncio.get_running_loop().remove_reader(process.pidfd)
        os.close(process.pidfd)
        del self.watched[process.pidfd]

    def close(self) -> None:
        """Watch no more: the processes go on."""
        for process in list(self.watched.values()):
            self._unwatch(process)


def started(pid: int) -> int:
    """When a process began, in clock ticks since the boot; 0 where there is none."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            return int(file.read().rpartition(b")")[2].split()[19])
    except (OSError, ValueError, IndexError):
        return 0


def boot() -> str:
    """Names this boot of the host."""
    with open("/proc/sys/kernel/random/boot_id", encoding="ascii") as file:
        return file.read().strip()
