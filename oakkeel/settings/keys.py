"""The keys of operators and agents, read from their files."""

from __future__ import annotations

import os

from oakkeel.authentication.mac import SECRET_BYTES, Key, Role
from oakkeel.settings.types import Fleet, KeyFile, Operator, SettingsError

AGENT_PREFIX = "agent:"  # before the names of hosts, so that no operator's key has the same ID


def read_keys(fleet: Fleet) -> dict[str, Key]:
    """Read all keys that an agent accepts, by ID. Raises SettingsError."""
    return {file.ident: _read_key(operator, file) for operator in fleet.operators for file in operator.keys}


def read_agent_keys(fleet: Fleet) -> dict[str, Key]:
    """Read the keys that agents authenticate each other with, by host. Raises SettingsError."""
    if fleet.control_plane is None:
        return {}
    return {
        host.name: Key(f"{AGENT_PREFIX}{host.name}", host.name, Role.AGENT, _read_secret(host.key))
        for host in fleet.hosts
    }


def read_operator_key(fleet: Fleet, name: str) -> Key:
    """Read the key that an operator authenticates with: the first whose file exists. Raises SettingsError."""
    operator = fleet.operator(name)
    for file in operator.keys:
        if os.path.exists(file.path):
            return _read_key(operator, file)
    raise SettingsError(f"{operator.keys[0].path}: there is no key of {name} here")


def _read_key(operator: Operator, file: KeyFile) -> Key:
    return Key(
        file.ident,
        operator.name,
        Role.ACT if operator.may_act else Role.VIEW,
        _read_secret(file.path),
        file.expires,
    )


def _read_secret(path: str) -> bytes:
    try:
        if os.stat(path).st_mode & 0o077:
            raise SettingsError(f"{path}: others may read this key; mode 600 is asked for")
        with open(path, encoding="ascii") as opened:
            secret = bytes.fromhex(opened.read(2 * SECRET_BYTES + 2).strip())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        if isinstance(error, SettingsError):
            raise
        secret = b""
    if len(secret) != SECRET_BYTES:
        raise SettingsError(f"{path}: no key; {2 * SECRET_BYTES} hexadecimal digits are asked for")
    return secret


def write_key(path: str, secret: bytes) -> None:
    """Create a key file that only its owner may read; an existing file stays. Raises OSError."""
    with os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as file:
        file.write(secret.hex() + "\n")
