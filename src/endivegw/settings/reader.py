"""Typed access to an INI file, with errors that name file, section and key."""

from __future__ import annotations

import configparser
import ipaddress
import pathlib
from typing import Callable, NoReturn, TypeVar

from attrs import frozen

from endivegw.exceptions import SettingsError

__all__ = ["Address", "SettingsReader"]

T = TypeVar("T")

_TRUE_WORDS = frozenset({"yes", "true", "on", "1"})
_FALSE_WORDS = frozenset({"no", "false", "off", "0"})
_MAX_PORT = 65535


@frozen
class Address:
    """An IP address and a TCP or UDP port.

    Host names are not accepted: the processes find each other by address, so that
    an unavailable name service does not affect them.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


class SettingsReader:
    """Read values from an INI file and record which keys were read.

    :param path: path of the file.
    :raises SettingsError: if the file cannot be read or parsed.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self._parser = configparser.ConfigParser(interpolation=None)
        self._read_keys: set[tuple[str, str]] = set()
        try:
            with path.open(encoding="utf-8") as file:
                self._parser.read_file(file)
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"{path}: cannot be read: {error}") from error
        except configparser.Error as error:
            line = " ".join(str(error).split())
            raise SettingsError(f"{path}: not a valid INI file: {line}") from error

    def text(self, section: str, key: str, default: str | None = None) -> str:
        """Return a value as text; the key is required if there is no default."""
        self._read_keys.add((section, key))
        value = self._parser.get(section, key, fallback=None)
        if value is None or value == "":
            if default is None:
                self._fail(section, key, "is missing")
            return default
        return value.strip()

    def number(
        self,
        section: str,
        key: str,
        default: float,
        *,
        minimum: float = 0.0,
        maximum: float = float("inf"),
    ) -> float:
        """Return a number within bounds; the suffix of the key is its unit."""
        return self._parsed(section, key, default, float, minimum, maximum)

    def optional_positive(self, section: str, key: str) -> float | None:
        """Return a finite number above zero, or None if the key is absent."""
        if not self.text(section, key, ""):
            return None
        value = self._parsed(section, key, 0.0, float, float("-inf"), float("inf"))
        if not 0.0 < value < float("inf"):
            self._fail(section, key, f"expected a number above 0, not {value:g}")
        return value

    def integer(
        self,
        section: str,
        key: str,
        default: int,
        *,
        minimum: int = 0,
        maximum: int = 2**62,
    ) -> int:
        """Return an integer within bounds; the suffix of the key is its unit."""
        return self._parsed(section, key, default, int, minimum, maximum)

    def flag(self, section: str, key: str, default: bool) -> bool:
        """Return a boolean, written as yes or no."""
        word = self.text(section, key, "yes" if default else "no").lower()
        if word in _TRUE_WORDS:
            return True
        if word in _FALSE_WORDS:
            return False
        self._fail(section, key, f"expected yes or no, not {word!r}")

    def address(
        self, section: str, key: str, default: Address | None = None
    ) -> Address:
        """Return an ``IP:PORT``; an IPv6 address is written in brackets."""
        text = self.text(section, key, None if default is None else str(default))
        host, colon, port = text.rpartition(":")
        try:
            ip = str(ipaddress.ip_address(host.strip("[]")))
            number = int(port)
        except ValueError:
            self._fail(section, key, f"expected IP:PORT, not {text!r}")
        if not colon or not 0 <= number <= _MAX_PORT:
            self._fail(section, key, f"expected a port up to {_MAX_PORT}, not {port}")
        return Address(ip, number)

    def optional_address(self, section: str, key: str) -> Address | None:
        """Return an address, or None if the key is absent."""
        if not self.text(section, key, ""):
            return None
        return self.address(section, key)

    def url(self, section: str, key: str, default: str | None = None) -> str:
        """Return an http or https URL without trailing slashes."""
        text = self.text(section, key, default)
        if text and not text.startswith(("http://", "https://")):
            self._fail(section, key, f"expected an http or https URL, not {text!r}")
        return text.rstrip("/")

    def choice(
        self, section: str, key: str, names: tuple[str, ...], default: str
    ) -> str:
        """Return a value that is one of ``names``."""
        word = self.text(section, key, default)
        if word not in names:
            self._fail(section, key, f"expected one of {', '.join(names)}: {word!r}")
        return word

    def file(self, section: str, key: str) -> pathlib.Path | None:
        """Return the path of an existing file, or None if the key is absent."""
        text = self.text(section, key, "")
        if not text:
            return None
        path = pathlib.Path(text)
        if not path.is_file():
            self._fail(section, key, f"file {text!r} does not exist")
        return path

    def reject_unknown_keys(self) -> None:
        """Refuse keys that were never read; most of them are misspelt."""
        for section in self._parser.sections():
            for key in self._parser[section]:
                if (section, key) not in self._read_keys:
                    self._fail(section, key, "is not a known setting")

    def _parsed(
        self,
        section: str,
        key: str,
        default: T,
        parse: Callable[[str], T],
        minimum: T,
        maximum: T,
    ) -> T:
        text = self.text(section, key, str(default))
        try:
            value = parse(text)
        except ValueError:
            unit = _UNITS.get(key.rpartition("_")[2], "a number")
            self._fail(section, key, f"expected {unit} without a unit, not {text!r}")
        if not minimum <= value <= maximum:  # type: ignore[operator]
            self._fail(section, key, f"expected {minimum} to {maximum}, not {text}")
        return value

    def _fail(self, section: str, key: str, problem: str) -> NoReturn:
        raise SettingsError(f"{self.path}: [{section}] {key}: {problem}")


#: Descriptions of values by the suffix of the key, for error messages.
_UNITS = {
    "s": "a number of seconds",
    "ms": "a number of milliseconds",
    "bytes": "a number of bytes",
    "tokens": "a number of tokens",
}
