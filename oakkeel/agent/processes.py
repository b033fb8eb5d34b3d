"""The processes of instances: starts, adopts, watches and signals them. A pid alone identifies no process.

Each process holds a lock on its instance's lock file for its whole life: an agent that can take the lock
knows that no process of the instance is left, even if another agent started it. Signals go through a pidfd,
which is opened before its owner is checked, so that a reused pid is never signalled.
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

# Writes the pid file before the program begins, so that the next agent finds the process if this agent ends.
START_SCRIPT = 'echo "$$ $OAKKEEL_GENERATION" >"$OAKKEEL_PID_FILE" && unset OAKKEEL_PID_FILE && exec "$@"'
MAX_LOG_BYTES = 4 * 1024 * 1024  # of an instance's log; if longer, the next start begins a new file
MAX_PID_FILE_BYTES = 64
LOCK_FILE_MODE = 0o600
START_TIME_FIELD = 19  # of /proc/PID/stat, counted after the name of the program


@dataclass(slots=True, eq=False)
class Process:
    """One process that holds its instance's lock."""

    name: str
    pid: int
    start_ticks: int  # its start time in clock ticks since boot
    generation: int
    pidfd: int


class ProcessError(OSError):
    """A process could not be started; the message says why."""


class Processes:
    """Processes with their files `NAME.lock`, `NAME.pid`, `NAME.sock` and `NAME.log` in the state folder."""

    def __init__(self, folder: str, on_exit: Callable[[Process, str], None]) -> None:
        """`on_exit` is called once for each process, with its exit status as text."""
        self.folder = folder
        self.on_exit = on_exit
        self.watched: dict[int, Process] = {}  # by pidfd

    def path(self, name: str, suffix: str) -> str:
        """The path of an instance's file with the suffix `suffix`."""
        return os.path.join(self.folder, f"{name}.{suffix}")

    def spawn(self, name: str, generation: int, argv: list[str], variables: dict[str, str]) -> Process:
        """Start a process of the instance. Raises ProcessError, also if a process is still running."""
        lock = self._acquire_lock(name)
        if lock < 0:
            raise ProcessError("a process of the instance is still running")
        log = self.path(name, "log")
        try:
            with contextlib.suppress(FileNotFoundError):
                if os.path.getsize(log) > MAX_LOG_BYTES:
                    os.replace(log, log + ".1")
            with open(log, "ab") as output:
                environment = {
                    **variables,
                    "OAKKEEL_GENERATION": str(generation),
                    "OAKKEEL_PID_FILE": self.path(name, "pid"),
                }
                child = subprocess.Popen(
                    ["/bin/sh", "-c", START_SCRIPT, "sh", *argv],
                    env=environment,
                    pass_fds=(lock,),
                    stdin=subprocess.DEVNULL,
                    stdout=output,
                    stderr=output,
                    start_new_session=True,
                )
        except OSError as error:
            raise ProcessError(str(error)) from error
        finally:
            os.close(lock)  # the child holds the lock
        # `_handle_exit` waits for the child; the exit code keeps the destructor of `Popen` from waiting.
        child.returncode = 0
        pidfd = os.pidfd_open(child.pid)
        return self._watch(Process(name, child.pid, read_start_ticks(child.pid), generation, pidfd))

    def is_running(self, name: str) -> bool:
        """Whether any process of the instance is running."""
        lock = self._acquire_lock(name)
        if lock >= 0:
            os.close(lock)
        return lock < 0

    def read_pid_file(self, name: str) -> tuple[int, int]:
        """The pid and generation of the last process that was started; zeros if the file has none."""
        try:
            with open(self.path(name, "pid"), encoding="ascii") as file:
                pid, generation = file.read(MAX_PID_FILE_BYTES).split()
                return int(pid), int(generation)
        except (OSError, ValueError):
            return 0, 0

    def adopt(self, name: str) -> Process | None:
        """Watch the process that an earlier agent started; None if the process can't be identified."""
        pid, generation = self.read_pid_file(name)
        if not pid:
            return None
        try:
            pidfd = os.pidfd_open(pid)
        except OSError:
            return None
        if not self._has_lock_open(pid, name):  # the pid was reused
            os.close(pidfd)
            return None
        return self._watch(Process(name, pid, read_start_ticks(pid), generation, pidfd))

    def signal(self, process: Process, signal_number: signal.Signals) -> bool:
        """Send a signal to a process; return False if the process has ended."""
        if process.pidfd not in self.watched or read_start_ticks(process.pid) != process.start_ticks:
            return False
        try:
            signal.pidfd_send_signal(process.pidfd, signal_number)
        except ProcessLookupError:
            return False
        return True

    def _acquire_lock(self, name: str) -> int:
        """Take the lock of an instance; return its descriptor, or -1 if another process holds the lock."""
        lock = os.open(self.path(name, "lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, LOCK_FILE_MODE)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            return -1
        return lock

    def _has_lock_open(self, pid: int, name: str) -> bool:
        lock_file = os.stat(self.path(name, "lock"))
        try:
            for descriptor in os.listdir(f"/proc/{pid}/fd"):
                with contextlib.suppress(OSError):
                    open_file = os.stat(f"/proc/{pid}/fd/{descriptor}")
                    if (open_file.st_dev, open_file.st_ino) == (lock_file.st_dev, lock_file.st_ino):
                        return True
        except OSError:
            pass
        return False

    def _watch(self, process: Process) -> Process:
        self.watched[process.pidfd] = process
        asyncio.get_running_loop().add_reader(process.pidfd, self._handle_exit, process)
        return process

    def _handle_exit(self, process: Process) -> None:
        self._unwatch(process)
        why = "ended as the child of another process"  # the exit status is unknown
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
        """Stop watching; the processes continue."""
        for process in list(self.watched.values()):
            self._unwatch(process)


def read_start_ticks(pid: int) -> int:
    """The start time of a process in clock ticks since boot; 0 if it does not exist."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            return int(file.read().rpartition(b")")[2].split()[START_TIME_FIELD])
    except (OSError, ValueError, IndexError):
        return 0


def read_variable(pid: int, name: str) -> str:
    """The value that an environment variable of a process had at its start; empty if there is none."""
    try:
        with open(f"/proc/{pid}/environ", "rb") as file:
            variables = dict(item.partition(b"=")[::2] for item in file.read().split(b"\0"))
    except OSError:
        return ""
    return os.fsdecode(variables.get(name.encode(), b""))


def read_boot_id() -> str:
    """The ID of the current boot of the host."""
    with open("/proc/sys/kernel/random/boot_id", encoding="ascii") as file:
        return file.read().strip()
