"""Typed reading of one INI file, with errors that name file, section and key."""

from __future__ import annotations

import configparser
import ipaddress
import pathlib
from typing import Callable, NoReturn, TypeVar

from attrs import frozen

from endivegw.exceptions import SettingsError

__all__ = ["Address", "SettingsReader"]

T = TypeVar("T")

_YES = frozenset({"yes", "true", "on", "1"})
_NO = frozenset({"no", "false", "off", "0"})
_MAX_PORT = 65535


@frozen
class Address:
    """Hold an IP address and a TCP or UDP port.

    Names are not taken: the processes find each other by address, so that a
    name service that is away stops nothing.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


class SettingsReader:
    """Read values from an INI file and remember which keys were asked for.

    :param path: the file; :exc:`SettingsError` where it cannot be read.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self._parser = configparser.ConfigParser(interpolation=None)
        self._asked: set[tuple[str, str]] = set()
        try:
            with path.open(encoding="utf-8") as file:
                self._parser.read_file(file)
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"{path}: cannot be read: {error}") from error
        except configparser.Error as error:
            line = " ".join(str(error).split())
            raise SettingsError(f"{path}: not a valid INI file: {line}") from error

    def text(self, section: str, key: str, default: str | None = None) -> str:
        """Return a value as it stands; required where there is no default."""
        self._asked.add((section, key))
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
        least: float = 0.0,
        most: float = float("inf"),
    ) -> float:
        """Return a number within bounds; the key's suffix is its unit."""
        return self._parsed(section, key, default, float, least, most)

    def whole(
        self,
        section: str,
        key: str,
        default: int,
        *,
        least: int = 0,
        most: int = 2**62,
    ) -> int:
        """Return a whole number within bounds; the key's suffix is its unit."""
        return self._parsed(section, key, default, int, least, most)

    def flag(self, section: str, key: str, default: bool) -> bool:
        """Return yes or no."""
        word = self.text(section, key, "yes" if default else "no").lower()
        if word in _YES:
            return True
        if word in _NO:
            return False
        self._fail(section, key, f"expected yes or no, not {word!r}")

    def address(
        self, section: str, key: str, default: Address | None = None
    ) -> Address:
        """Return an ``IP:PORT``; an IPv6 address stands in brackets."""
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
        """Return an address, or None where the key is absent."""
        if not self.text(section, key, ""):
            return None
        return self.address(section, key)

    def url(self, section: str, key: str, default: str | None = None) -> str:
        """Return an http or https URL without a trailing slash."""
        text = self.text(section, key, default)
        if text and not text.startswith(("http://", "https://")):
            self._fail(section, key, f"expected an http or https URL, not {text!r}")
        return text.rstrip("/")

    def choice(
        self, section: str, key: str, names: tuple[str, ...], default: str
    ) -> str:
        """Return one of a few words."""
        word = self.text(section, key, default)
        if word not in names:
            self._fail(section, key, f"expected one of {', '.join(names)}: {word!r}")
        return word

    def file(self, section: str, key: str) -> pathlib.Path | None:
        """Return the path of a file that can be read, None where absent."""
        text = self.text(section, key, "")
        if not text:
            return None
        path = pathlib.Path(text)
        if not path.is_file():
            self._fail(section, key, f"there is no file {text!r}")
        return path

    def end(self) -> None:
        """Refuse keys that nothing asked for: most of them are misspelt."""
        for section in self._parser.sections():
            for key in self._parser[section]:
                if (section, key) not in self._asked:
                    self._fail(section, key, "is not a known setting")

    def _parsed(
        self,
        section: str,
        key: str,
        default: T,
        parse: Callable[[str], T],
        least: T,
        most: T,
    ) -> T:
        text = self.text(section, key, str(default))
        try:
            value = parse(text)
        except ValueError:
            unit = _UNITS.get(key.rpartition("_")[2], "a number")
            self._fail(section, key, f"expected {unit} without a unit, not {text!r}")
        if not least <= value <= most:  # type: ignore[operator]
            self._fail(section, key, f"expected {least} to {most}, not {text}")
        return value

    def _fail(self, section: str, key: str, problem: str) -> NoReturn:
        raise SettingsError(f"{self.path}: [{section}] {key}: {problem}")


#: What the last part of a key says of its value, for error messages.
_UNITS = {
    "s": "a number of seconds",
    "ms": "a number of milliseconds",
    "bytes": "a number of bytes",
    "tokens": "a number of tokens",
}
