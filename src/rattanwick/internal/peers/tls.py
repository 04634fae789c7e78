"""TLS contexts for connections between nodes, with reload of the key."""

import hashlib
import os

from gevent.ssl import (
    CERT_NONE,
    CERT_REQUIRED,
    PROTOCOL_TLS_CLIENT,
    PROTOCOL_TLS_SERVER,
    PEM_cert_to_DER_cert,
    SSLContext,
    SSLError,
    TLSVersion,
)

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import PeerSettings

log = get_logger("peers")
PEM_END = "-----END CERTIFICATE-----"


class PeerTls:
    """Wrap sockets in TLS; certificates are checked against the authority.

    Node names are not checked: the handshake proves who a node is, and its proof
    covers the certificate of the side that accepted.
    """

    def __init__(self, settings: PeerSettings):
        self._settings = settings
        self._server = SSLContext(PROTOCOL_TLS_SERVER)
        self._client = SSLContext(PROTOCOL_TLS_CLIENT)
        self._client.check_hostname = False
        verify = CERT_REQUIRED if settings.tls_authority else CERT_NONE
        for context in (self._server, self._client):
            context.minimum_version = TLSVersion.TLSv1_2
            context.verify_mode = verify
            if settings.tls_authority:
                context.load_verify_locations(settings.tls_authority)
        self._stamp = self._read_stamp()
        self._load()

    def reload_if_changed(self) -> bool:
        """Load the certificate and key again when the files have changed."""
        try:
            stamp = self._read_stamp()
            if stamp == self._stamp:
                return False
            self._load()
        except (OSError, SSLError, ValueError) as exc:
            # The two files are seldom replaced at the same moment.
            log.warning("certificate not reloaded, the old one stays: %s", exc)
            return False
        self._stamp = stamp
        log.info("certificate reloaded")
        return True

    def wrap_accepted(self, sock):
        """Return the TLS socket and the digest of the own certificate."""
        digest = self._digest
        return self._server.wrap_socket(sock, server_side=True), digest

    def wrap_dialled(self, sock):
        """Return the TLS socket and the digest of the acceptor's certificate."""
        wrapped = self._client.wrap_socket(sock)
        return wrapped, hashlib.sha256(wrapped.getpeercert(True)).digest()

    def _read_stamp(self) -> tuple[int, int]:
        paths = (self._settings.tls_certificate, self._settings.tls_key)
        return tuple(os.stat(path).st_mtime_ns for path in paths)

    def _load(self) -> None:
        cfg = self._settings
        with open(cfg.tls_certificate, encoding="ascii") as file:
            first = file.read().partition(PEM_END)[0] + PEM_END
        start = first.index("-----BEGIN CERTIFICATE-----")
        digest = hashlib.sha256(PEM_cert_to_DER_cert(first[start:])).digest()
        for context in (self._server, self._client):
            context.load_cert_chain(cfg.tls_certificate, cfg.tls_key)
        self._digest = digest
