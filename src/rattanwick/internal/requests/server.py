"""HTTP server for callers: bounded, with TLS and a graceful stop."""

import json
import ssl as std_ssl
from socket import IPPROTO_TCP, TCP_NODELAY

import gevent
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer
from gevent.ssl import SSLContext

from rattanwick.internal.base.files import digest_files
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import CallerSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.requests.admission import BODY_READ_KEY
from rattanwick.internal.requests.caller_errors import OUTCOME_HEADER, error_body
from rattanwick.internal.requests.disconnects import CONNECTION_KEY

log = get_logger("requests")

MAX_HEADER_BYTES = 16_384  # request line not included, which has 8 KiB
CONNECTIONS_PER_REQUEST = 4  # connections for each request that may be in flight
HEADER_TIMEOUT_SECONDS = 10.0  # time to send a whole header
IDLE_SECONDS = 75.0  # silence on a connection, also while a caller reads nothing
DISCARD_BYTES = 1 << 20  # of an unwanted body
DISCARD_SECONDS = 1.0
KEY_CHECK_SECONDS = 10.0
BACKLOG = 1024


class HeaderTooLarge(ValueError):
    """Refuse a header above the limit."""


class HeaderLines:
    """Hold the header lines of a request, as the base class reads them.

    ``http.client`` parses headers as mail, which took a seventh of the processor
    time of a short call.
    """

    __slots__ = ("_values", "headers", "status")

    def __init__(self, lines: list[str]):
        self.status = ""
        self.headers = lines
        self._values: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                # Includes folded lines, which proxies and servers read differently.
                raise ValueError(f"header line {line[:40]!r} is not 'name: value'")
            name = name.lower()
            if name in ("content-length", "transfer-encoding") and name in self._values:
                raise ValueError(f"header {name} is repeated")
            self._values[name] = value.strip()

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return a header, the last one where it is repeated."""
        return self._values.get(name.lower(), default)

    getheader = get

    @property
    def typeheader(self) -> str | None:
        """Return the content type."""
        return self._values.get("content-type")

    def __delitem__(self, name: str) -> None:
        del self._values[name.lower()]


def _read_header_lines(rfile) -> list[str]:
    """Read up to the empty line that ends a header."""
    lines = []
    left = MAX_HEADER_BYTES
    while True:
        line = rfile.readline(left + 1)
        left -= len(line)
        if left < 0:
            raise HeaderTooLarge("header is too large")
        if line in (b"\r\n", b"\n"):
            return lines
        if not line.endswith(b"\n"):
            raise ValueError("header ended early")
        lines.append(line.decode("latin-1").rstrip("\r\n"))


class CallerHandler(WSGIHandler):
    """Serve one connection of a caller."""

    header_limit: gevent.Timeout | None = None

    def handle(self):
        """Serve the connection, and let a stop close it while it is idle."""
        conn = self.socket
        conn.settimeout(IDLE_SECONDS)
        conn.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.server.idle.add(conn)
        try:
            super().handle()
        finally:
            self.server.idle.discard(conn)
            self._end_header_limit()

    def _end_header_limit(self) -> None:
        if self.header_limit is not None:
            self.header_limit.close()
            self.header_limit = None

    def read_requestline(self):
        """Wait for a request; its first line and its header share a time limit."""
        if not self.rfile.peek(1):
            return ""
        self.header_limit = gevent.Timeout(
            HEADER_TIMEOUT_SECONDS, TimeoutError("header took too long")
        )
        self.header_limit.start()
        return super().read_requestline()

    def read_request(self, raw_requestline):
        """Read the header; the time limit ends with it."""
        try:
            return super().read_request(raw_requestline)
        finally:
            self._end_header_limit()

    def MessageClass(self, rfile, seekable=0):  # noqa: N802 (name of the base class)
        """Read the header within its limit of size."""
        return HeaderLines(_read_header_lines(rfile))

    def _handle_client_error(self, ex):
        if isinstance(ex, HeaderTooLarge):
            message = f"header: must be at most {MAX_HEADER_BYTES} bytes"
            return ("431", _refusal("431 Request Header Fields Too Large", message))
        reason = str(ex)[:200] or type(ex).__name__
        log.info("request cannot be read: %s", reason)
        message = f"request: cannot be read as HTTP: {reason}"
        return ("400", _refusal("400 Bad Request", message))

    def get_environ(self):
        """Return the environment, with the connection for the close watch."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        return environ

    def handle_one_response(self):
        """Count the request as in flight while it is answered."""
        server, conn = self.server, self.socket
        server.idle.discard(conn)
        server.begin()
        try:
            super().handle_one_response()
        finally:
            server.end()
            if server.stopping:
                self.close_connection = True
            else:
                server.idle.add(conn)

    def _log_error(self, t, v, tb):
        if isinstance(v, TimeoutError):
            log.info("caller did not read or write for %d s", IDLE_SECONDS)
        elif not issubclass(t, gevent.GreenletExit):
            log.error("request failed", exc_info=(t, v, tb))

    def run_application(self):
        """Answer, and read no more than a little of a body that was not wanted."""
        try:
            super().run_application()
        finally:
            has_body = self.content_length or "HTTP_TRANSFER_ENCODING" in self.environ
            if has_body and not self.environ.get(BODY_READ_KEY):
                self._discard_some()

    def _discard_some(self) -> None:
        """Let a caller that still sends read the answer before the connection ends.

        The base class would read the rest of the body, however long it is.
        """
        try:
            with gevent.Timeout(DISCARD_SECONDS, TimeoutError("body is late")):
                self.wsgi_input.read(DISCARD_BYTES)
        except OSError:
            pass
        self.wsgi_input = _NoInput()
        self.close_connection = True

    def log_request(self):
        """Write no access log; metrics and traces tell more."""


class _NoInput:
    """Stand for a body of which nothing more is read."""

    def _discard(self) -> None:
        """Read nothing."""


def _refusal(status: str, message: str) -> bytes:
    """Return a whole response for a request that cannot be read."""
    body = json.dumps(error_body(message, "invalid_request", message.split(":")[0]))
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
        f"{OUTCOME_HEADER}: not_run\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return (head + body).encode()


class _ErrorLog:
    """Take the lines that gevent writes about connections."""

    def write(self, line: str) -> None:
        """Log one line."""
        log.info("server: %s", line.strip()[:300])


class CallerServer(WSGIServer):
    """Listen for callers."""

    handler_class = CallerHandler

    def __init__(
        self, settings: CallerSettings, application, timers: TimerService, port=None
    ):
        options = {}
        if settings.tls_certificate:
            self._keys = ReloadingTlsContext(settings)
            options["ssl_context"] = self._keys.context
            timers.subscribe("requests.tls", KEY_CHECK_SECONDS, self._keys.reload)
        address = (settings.address, settings.port if port is None else port)
        super().__init__(
            address,
            application,
            backlog=BACKLOG,
            spawn=Pool(settings.max_in_flight * CONNECTIONS_PER_REQUEST),
            log=None,
            error_log=_ErrorLog(),
            **options,
        )
        self.idle: set = set()
        self.stopping = False
        self._in_flight = 0
        self._quiet = Event()
        self._quiet.set()

    def begin(self) -> None:
        """Count a request that starts to be answered."""
        self._in_flight += 1
        self._quiet.clear()

    def end(self) -> None:
        """Count a request that has been answered."""
        self._in_flight -= 1
        if self._in_flight == 0:
            self._quiet.set()

    def close_gracefully(self, limit_seconds: float | None = None) -> bool:
        """Stop accepting, wait for requests in flight; tell whether all ended.

        No limit waits for as long as it takes.
        """
        self.stopping = True
        self.close()
        for conn in list(self.idle):
            _shut(conn)
        ended = self._quiet.wait(limit_seconds) or self._in_flight == 0
        self.stop(timeout=1.0)
        return ended


class ReloadingTlsContext:
    """Hold the TLS context and load its key again when the files change."""

    def __init__(self, settings: CallerSettings):
        self._files = (settings.tls_certificate, settings.tls_key)
        self.context = SSLContext(std_ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = std_ssl.TLSVersion.TLSv1_2
        self.context.load_cert_chain(*self._files)
        self._loaded = digest_files(*self._files)

    def reload(self) -> bool:
        """Load changed files; new connections use them. Tell whether it did."""
        try:
            digest = digest_files(*self._files)
            if digest == self._loaded:
                return False
            # A wrong pair must not disturb the one in use.
            trial = SSLContext(std_ssl.PROTOCOL_TLS_SERVER)
            trial.load_cert_chain(*self._files)
            self.context.load_cert_chain(*self._files)
        except (OSError, ValueError) as exc:
            log.warning("new TLS key cannot be loaded: %s", exc)
            return False
        self._loaded = digest
        log.info("TLS key loaded again")
        return True


def _shut(conn) -> None:
    """Close an idle connection, such that its task ends."""
    try:
        conn.shutdown(2)
    except OSError:
        pass
