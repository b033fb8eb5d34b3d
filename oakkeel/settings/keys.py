"""The keys of operators, read from their files."""

from __future__ import annotations

import os

from oakkeel.authentication.mac import SECRET, Key, Role
from oakkeel.settings.fleet import Fleet, KeyFile, Operator, SettingsError

AGENT = "agent:"  # before the names of hosts, so that no operator's key has the same


def read_keys(fleet: Fleet) -> dict[str, Key]:
    """All keys that an agent takes, by id. Raises SettingsError."""
    return {file.ident: _key(operator, file) for operator in fleet.operators for file in operator.keys}


def read_agent_keys(fleet: Fleet) -> dict[str, Key]:
    """The keys that agents mark with among themselves, by host. Raises SettingsError."""
    if fleet.keepers is None:
        return {}
    return {
        host.name: Key(f"{AGENT}{host.name}", host.name, Role.AGENT, _secret(host.key))
        for host in fleet.hosts
    }


def key_of(fleet: Fleet, name: str) -> Key:
    """The key that an operator marks with: the first whose file is here. Raises SettingsError."""
    operator = fleet.operator(name)
    for file in operator.keys:
        if os.path.exists(file.path):
            return _key(operator, file)
    raise SettingsError(f"{operator.keys[0].path}: there is no key of {name} here")


def _key(operator: Operator, file: KeyFile) -> Key:
    return Key(
        file.ident, operator.name, Role.ACT if operator.acts else Role.VIEW, _secret(file.path), file.until
    )


def _secret(path: str) -> bytes:
    try:
        if os.stat(path).st_mode & 0o077:
            raise SettingsError(f"{path}: others may read this key; mode 600 is asked for")
        with open(path, encoding="ascii") as opened:
            secret = bytes.fromhex(opened.read(2 * SECRET + 2).strip())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        if isinstance(error, SettingsError):
            raise
        secret = b""
    if len(secret) != SECRET:
        raise SettingsError(f"{path}: no key; {2 * SECRET} hexadecimal digits are asked for")
    return secret


def write_key(path: str, secret: bytes) -> None:
    """Make a key file that only its owner may read; one that is there already stays. Raises OSError."""
    with os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as file:
        file.write(secret.hex() + "\n")
