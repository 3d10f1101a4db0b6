"""TLS contexts from PEM files, which are reloaded when they change."""

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
    """The PEM contents of a certificate, its key and the authority's certificate."""

    certificate: bytes
    key: bytes
    authority: bytes


class Certificates:
    """The certificate and key of a port; both ends need a certificate that the authority signed.

    :param settings: the paths of the files.
    """

    def __init__(self, *, settings: TlsSettings) -> None:
        self.settings = settings
        self._callbacks: list[Callable[[Certificates], None]] = []
        self.files = self._read()
        self._make_context(ssl.PROTOCOL_TLS_SERVER)

    def server_context(self) -> ssl.SSLContext:
        """Return a context for a server; it requires a client certificate."""
        return self._make_context(ssl.PROTOCOL_TLS_SERVER)

    def client_context(self) -> ssl.SSLContext:
        """Return a context for a client; names aren't checked, as hosts are known by IP address."""
        return self._make_context(ssl.PROTOCOL_TLS_CLIENT)

    def on_change(self, callback: Callable[["Certificates"], None]) -> None:
        """Call back when the files have changed and are usable."""
        self._callbacks.append(callback)

    def reload(self) -> bool:
        """Reload the files if they have changed.

        If the files don't match, the current ones stay in use: a certificate and its key are two
        files, so one may be read new and the other old.

        :return: whether new files are in use.
        """
        previous = self.files
        try:
            files = self._read()
            if files == previous:
                return False
            self._make_context(ssl.PROTOCOL_TLS_SERVER)
        except SettingsError as exc:
            logging.log_every_n_seconds(
                logging.WARNING,
                "new certificate files are unusable, the current ones stay in use reason=%s",
                60,
                exc,
            )
            return False
        self.files = files
        logging.info("certificate files reloaded file=%s", self.settings.certificate)
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
