"""TLS for connections between nodes, with reload of changed certificates."""

import hashlib

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

from rattanwick.internal.base.files import digest_files
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import PeerSettings

log = get_logger("peers")
PEM_START = "-----BEGIN CERTIFICATE-----"
PEM_END = "-----END CERTIFICATE-----"


class PeerTls:
    """TLS contexts that check certificates against the configured CA.

    Host names are not checked. The peer handshake, which runs after TLS, authenticates
    the node, and its proof covers the certificate of the TLS server.
    """

    def __init__(self, settings: PeerSettings):
        self._settings = settings
        self._files_digest = self._read_files_digest()
        self._load()

    def reload_if_changed(self) -> bool:
        """Load changed certificate and key files; return whether they were loaded."""
        try:
            files_digest = self._read_files_digest()
            if files_digest == self._files_digest:
                return False
            self._load()
        except (OSError, SSLError, ValueError) as exc:
            # While only one of the two files has been replaced, they do not match. The
            # next call tries again.
            log.warning("certificate not reloaded, the old one stays: %s", exc)
            return False
        self._files_digest = files_digest
        log.info("reloaded the certificate")
        return True

    def wrap_accepted(self, sock):
        """Return the TLS socket and the SHA-256 of this node's certificate."""
        digest = self._digest
        return self._server.wrap_socket(sock, server_side=True), digest

    def wrap_dialled(self, sock):
        """Return the TLS socket and the SHA-256 of the other node's certificate."""
        wrapped = self._client.wrap_socket(sock)
        return wrapped, hashlib.sha256(wrapped.getpeercert(True)).digest()

    def _read_files_digest(self) -> bytes:
        return digest_files(self._settings.tls_certificate, self._settings.tls_key)

    def _load(self) -> None:
        # Builds new contexts, because a failed load leaves a context without a key.
        server = self._make_context(PROTOCOL_TLS_SERVER)
        client = self._make_context(PROTOCOL_TLS_CLIENT)
        self._digest = self._read_digest()
        self._server, self._client = server, client

    def _make_context(self, protocol: int) -> SSLContext:
        cfg = self._settings
        context = SSLContext(protocol)
        context.check_hostname = False
        context.minimum_version = TLSVersion.TLSv1_2
        context.verify_mode = CERT_REQUIRED if cfg.tls_authority else CERT_NONE
        if cfg.tls_authority:
            context.load_verify_locations(cfg.tls_authority)
        context.load_cert_chain(cfg.tls_certificate, cfg.tls_key)
        return context

    def _read_digest(self) -> bytes:
        with open(self._settings.tls_certificate, encoding="ascii") as file:
            first = file.read().partition(PEM_END)[0] + PEM_END
        der = PEM_cert_to_DER_cert(first[first.index(PEM_START) :])
        return hashlib.sha256(der).digest()
