"""TLS contexts from key files that are read again when the files change."""

import os
import ssl
from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from . import status_codes
from .exceptions import SettingsError
from .settings import TlsSettings

RELOAD_PERIOD_S = 5.0


class PemFiles(NamedTuple):
    """The contents of the files of one set of keys, PEM."""

    certificate: bytes
    key: bytes
    authority: bytes


class Certificates:
    """The keys of one port; both ends must show a certificate that the authority signed.

    :param settings: where the files are.
    """

    def __init__(self, *, settings: TlsSettings) -> None:
        self.settings = settings
        self._callbacks: list[Callable[[Certificates], None]] = []
        self.files = self._read()
        self._make_context(ssl.PROTOCOL_TLS_SERVER)

    def server_context(self) -> ssl.SSLContext:
        """A context for listening; it asks the other end for a certificate."""
        return self._make_context(ssl.PROTOCOL_TLS_SERVER)

    def client_context(self) -> ssl.SSLContext:
        """A context for connecting; names aren't checked, since hosts are known by IP number."""
        return self._make_context(ssl.PROTOCOL_TLS_CLIENT)

    def on_change(self, callback: Callable[["Certificates"], None]) -> None:
        """Call back when the files have changed and can be used."""
        self._callbacks.append(callback)

    def reload(self) -> bool:
        """Read the files again.

        Files that don't fit together are left aside and the keys in use stay: a certificate and
        its key are two files, so a reader can meet one new and one old.

        :return: whether the keys changed.
        """
        previous = self.files
        try:
            files = self._read()
            if files == previous:
                return False
            self._make_context(ssl.PROTOCOL_TLS_SERVER)
        except SettingsError as exc:
            logging.log_every_n_seconds(logging.WARNING, "keys kept reason=%s", 60, exc)
            return False
        self.files = files
        logging.info("keys changed file=%s", self.settings.certificate)
        for callback in self._callbacks:
            callback(self)
        return True

    def _read(self) -> PemFiles:
        return PemFiles(
            _read_file(self.settings.certificate, "certificate"),
            _read_file(self.settings.key, "key"),
            _read_file(self.settings.authority, "authority"),
        )

    def _make_context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        try:
            context.load_cert_chain(self.settings.certificate, self.settings.key)
            context.load_verify_locations(self.settings.authority)
        except (OSError, ssl.SSLError) as exc:
            raise SettingsError(
                code=status_codes.TLS_INVALID,
                detail=exc.strerror or str(exc),
                place=f"{self.settings.certificate}, {self.settings.key}",
            ) from None
        return context


def _read_file(path: str, key: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as exc:
        raise SettingsError(
            code=status_codes.TLS_INVALID,
            detail=exc.strerror or str(exc),
            place=f"{os.fspath(path)} ({key})",
        ) from None
