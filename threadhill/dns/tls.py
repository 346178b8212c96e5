"""The certificate of DNS over TLS (RFC 7858): loaded from files, and reloaded when they change.

Connections keep the TLS context that they began with, so a new certificate closes none of them. If the new certificate
or key cannot be used, the error is logged and the old pair stays in use.
"""

from __future__ import annotations

import ssl
import time
from collections.abc import Callable
from pathlib import Path

from threadhill.files import FileVersion, check_private, file_version
from threadhill.settings import Malformed

ALPN = "dot"  # RFC 7858, section 10 (IANA)


def make_context(certificate: Path, key: Path) -> ssl.SSLContext:
    """A server's TLS context for this certificate and key. Raises Malformed if they cannot be used."""
    try:
        check_private(key)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION
        context.set_alpn_protocols([ALPN])
        context.load_cert_chain(certificate, key, password=_no_password)
    except ssl.SSLError as error:
        raise Malformed(
            f"{certificate} and {key}: not a certificate chain and its key: " f"{error.reason or error}"
        ) from None
    except OSError as error:
        raise Malformed(f"{error.filename or certificate}: {error.strerror or error}") from None
    return context


def _no_password() -> bytes:
    raise OSError(0, "the key is encrypted with a password; write it to the file without one")


class Certificate:
    """The certificate and key in use. `reload_if_changed` reads them again after a file changed."""

    def __init__(self, certificate: Path, key: Path, log: Callable[[str], None]) -> None:
        self.certificate, self.key, self.log = certificate, key, log
        self._file_versions = self._current_versions()
        self.context = make_context(certificate, key)
        self.loaded = 1  # number of loads so far

    def _current_versions(self) -> list[FileVersion | None]:
        return [file_version(self.certificate), file_version(self.key)]

    def reload_if_changed(self) -> bool:
        """Whether a new pair was loaded. While the files are being replaced, certificate and key do not match; they are
        tried again after the next change. Each error is logged once."""
        versions = self._current_versions()
        if versions == self._file_versions:
            return False
        self._file_versions = versions
        try:
            self.context = make_context(self.certificate, self.key)
        except Malformed as error:
            self.log(f"dns tls: {error}; the certificate loaded before stays in use")
            return False
        self.loaded += 1
        self.log(f"dns tls: new certificate taken from {self.certificate} at {time.strftime('%FT%TZ', time.gmtime())}")
        return True
