"""The keys of operators and agents, read from their files."""

from __future__ import annotations

import os

from oakkeel.authentication.mac import SECRET_BYTES, Key, Role
from oakkeel.settings.types import Fleet, KeyFile, Operator, SettingsError

AGENT_KEY_PREFIX = "agent:"  # starts the key IDs of agents, and no key ID of an operator
GROUP_AND_OTHERS_MASK = 0o077  # permission bits


def read_keys(fleet: Fleet) -> dict[str, Key]:
    """Read all keys that an agent accepts, by ID. Raises SettingsError."""
    return {
        key_file.key_id: _read_key(operator, key_file)
        for operator in fleet.operators
        for key_file in operator.keys
    }


def read_agent_keys(fleet: Fleet) -> dict[str, Key]:
    """Read the keys that agents authenticate each other with, by host. Raises SettingsError."""
    if fleet.control_plane is None:
        return {}
    return {
        host.name: Key(f"{AGENT_KEY_PREFIX}{host.name}", host.name, Role.AGENT, _read_secret(host.key_path))
        for host in fleet.hosts
    }


def read_operator_key(fleet: Fleet, name: str) -> Key:
    """Read the first key of an operator whose file exists. Raises SettingsError."""
    operator = fleet.operator(name)
    for key_file in operator.keys:
        if os.path.exists(key_file.path):
            return _read_key(operator, key_file)
    raise SettingsError(f"{operator.keys[0].path}: the key of operator {name} is not on this host")


def _read_key(operator: Operator, key_file: KeyFile) -> Key:
    return Key(
        key_file.key_id,
        operator.name,
        Role.ACT if operator.may_act else Role.VIEW,
        _read_secret(key_file.path),
        key_file.expires,
    )


def _read_secret(path: str) -> bytes:
    try:
        if os.stat(path).st_mode & GROUP_AND_OTHERS_MASK:
            raise SettingsError(f"{path}: other users may read this key; set mode 600")
        with open(path, encoding="ascii") as file:
            secret = bytes.fromhex(file.read(2 * SECRET_BYTES + 2).strip())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        if isinstance(error, SettingsError):
            raise
        secret = b""
    if len(secret) != SECRET_BYTES:
        raise SettingsError(f"{path}: not a key; a key has {2 * SECRET_BYTES} hexadecimal digits")
    return secret


def write_key(path: str, secret: bytes) -> None:
    """Create a key file with mode 600. Raises FileExistsError, or another OSError."""
    with os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as file:
        file.write(secret.hex() + "\n")
