"""One agent and its command line, for the cases with a fleet: settings and keys in a temporary folder."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path

from stand_ins import ROOT, Record, free_port

OAKKEEL = str(ROOT / ".venv/bin/oakkeel")


class Agent:
    """The agent of one host, with the settings of `deploy/fleet.xml` for its supervision."""

    def __init__(self, record: Record, folder: Path, instances: dict[str, int], away: int = 1) -> None:
        """`instances` has the port of each node by name; `NAME.json` in the folder is its configuration."""
        self.record, self.folder = record, folder
        self.settings = folder / "fleet.xml"
        lines = "\n".join(
            f'      <instance name="{name}" config="{name}.json" listen="127.0.0.1:{port}"/>'
            for name, port in instances.items()
        )
        self.settings.write_text(
            f"""<fleet xmlns="urn:oakkeel:fleet:1" name="guild">
  <operators>
    <operator name="asha" role="act"><key id="asha-1" file="keys/asha-1.key"/></operator>
  </operators>
  <supervision silent="750ms" start="10s" stuck="30s" drain="10s" restarts="5" window="5m" starting="4"/>
  <site name="fukuoka-dc1" away="{away}">
    <host name="fu1" agent="127.0.0.1:{free_port()}" state="state/fu1">
{lines}
    </host>
  </site>
</fleet>
"""
        )
        self.environment = {
            **{name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ},
            "TMPDIR": str(folder),
            "OAKKEEL_SETTINGS": str(self.settings),
            "OAKKEEL_OPERATOR": "asha",
        }
        self.process: asyncio.subprocess.Process | None = None
        self.children: set[int] = set()

    async def start(self) -> None:
        (self.folder / "keys").mkdir(exist_ok=True)
        if not (self.folder / "keys/asha-1.key").exists():
            await self.command("settings", "key", str(self.folder / "keys/asha-1.key"))
        with open(self.folder / "agent.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                OAKKEEL, "agent", "--settings", str(self.settings), "fu1",
                cwd=self.folder, env=self.environment, stdout=log, stderr=log,
            )
        self.record.add("test", f"started the agent as process {self.process.pid}")

    async def command(self, *words: str, timeout: float = 40.0) -> tuple[int, str]:
        """Run a command of the command line; return its exit code and output."""
        process = await asyncio.create_subprocess_exec(
            OAKKEEL, *words, cwd=self.folder, env=self.environment,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(timeout):
                output, _ = await process.communicate()
        except TimeoutError:
            process.kill()
            output, _ = await process.communicate()
        text = output.decode(errors="replace")
        self.record.add("operator", f"oakkeel {' '.join(words)}: exit code {process.returncode}: {text.strip()[:300]}")
        return process.returncode or 0, text

    async def rows(self) -> list[dict]:
        code, text = await self.command("ls", "--output", "json")
        return json.loads(text)["instances"] if code == 0 and text.strip() else []

    def node_pid(self, name: str) -> int:
        """The process of a node, as its file in the state folder says; 0 if there is none."""
        try:
            pid = int((self.folder / f"state/fu1/{name}.pid").read_text().split()[0])
        except (OSError, ValueError, IndexError):
            return 0
        self.children.add(pid)
        return pid

    async def close(self, names: list[str]) -> None:
        """End the agent and the nodes that it started."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for name in names:
            self.node_pid(name)
        for pid in self.children:
            try:
                command = Path(f"/proc/{pid}/cmdline").read_bytes()
                if b"oakkeel" in command:
                    os.kill(pid, signal.SIGKILL)
            except OSError:
                pass
        for log in ("agent.log", *(f"state/fu1/{name}.log" for name in names)):
            path = self.folder / log
            if path.exists():
                for line in path.read_text(errors="replace").splitlines()[-40:]:
                    self.record.add(log, line)
