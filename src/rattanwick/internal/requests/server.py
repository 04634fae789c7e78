"""HTTP server for callers, with limits, TLS and a graceful stop."""

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
from rattanwick.internal.base.tcp import is_readable
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.requests.admission import BODY_READ_KEY
from rattanwick.internal.requests.caller_errors import OUTCOME_HEADER, error_body
from rattanwick.internal.requests.disconnects import CONNECTION_KEY

log = get_logger("requests")

MAX_HEADER_BYTES = 16_384  # without the request line, which may have 8 KiB
CONNECTIONS_PER_REQUEST = 4  # connections for each request that may be in flight
ACCEPTED_READ_SECONDS = 0.05  # for connections that a stop accepts last
HEADER_TIMEOUT_SECONDS = 10.0  # time limit for receiving the header
IDLE_TIMEOUT_SECONDS = 75.0  # longest time in which a caller neither sends nor reads
MAX_DISCARD_BYTES = 1 << 20  # read and discarded of an unread body
DISCARD_TIMEOUT_SECONDS = 1.0
TLS_CHECK_INTERVAL_SECONDS = 10.0
LISTEN_BACKLOG = 1024


class HeaderTooLarge(ValueError):
    """Error for a header above ``MAX_HEADER_BYTES``."""


class HeaderLines:
    """Header lines of a request, with the attributes that the base class reads.

    This replaces the parser of ``http.client``, which parses headers as mail and took
    a seventh of the processor time of a short call.
    """

    __slots__ = ("_values", "headers", "status")

    def __init__(self, lines: list[str]):
        self.status = ""
        self.headers = lines
        self._values: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                # This refuses folded lines too, which proxies and servers interpret
                # differently.
                raise ValueError(f"header line {line[:40]!r} is not 'name: value'")
            name = name.lower()
            if name in ("content-length", "transfer-encoding") and name in self._values:
                raise ValueError(f"header {name} is repeated")
            self._values[name] = value.strip()

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return a header, or its last value if it is repeated."""
        return self._values.get(name.lower(), default)

    getheader = get

    @property
    def typeheader(self) -> str | None:
        """Return the content type."""
        return self._values.get("content-type")

    def __delitem__(self, name: str) -> None:
        del self._values[name.lower()]


def _read_header_lines(rfile) -> list[str]:
    """Return the lines up to the empty line that ends a header."""
    lines = []
    remaining = MAX_HEADER_BYTES
    while True:
        line = rfile.readline(remaining + 1)
        remaining -= len(line)
        if remaining < 0:
            raise HeaderTooLarge("header is too large")
        if line in (b"\r\n", b"\n"):
            return lines
        if not line.endswith(b"\n"):
            raise ValueError("header ended early")
        lines.append(line.decode("latin-1").rstrip("\r\n"))


class CallerHandler(WSGIHandler):
    """Handler of one connection of a caller."""

    header_timeout: gevent.Timeout | None = None

    def handle(self):
        """Serve the connection, and let a graceful stop close it while it is idle."""
        conn = self.socket
        conn.settimeout(IDLE_TIMEOUT_SECONDS)
        conn.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.server.idle_connections.add(conn)
        try:
            super().handle()
        finally:
            self.server.idle_connections.discard(conn)
            self._end_header_timeout()

    def _end_header_timeout(self) -> None:
        if self.header_timeout is not None:
            self.header_timeout.close()
            self.header_timeout = None

    def read_requestline(self):
        """Wait for a request, then start the time limit for its line and header."""
        if not self.rfile.peek(1):
            return ""
        self.header_timeout = gevent.Timeout(
            HEADER_TIMEOUT_SECONDS, TimeoutError("header took too long")
        )
        self.header_timeout.start()
        return super().read_requestline()

    def read_request(self, raw_requestline):
        """Read the header, then end its time limit."""
        try:
            return super().read_request(raw_requestline)
        finally:
            self._end_header_timeout()

    def MessageClass(self, rfile, seekable=0):  # noqa: N802 (name of the base class)
        """Read the header, up to its maximum size."""
        return HeaderLines(_read_header_lines(rfile))

    def _handle_client_error(self, ex):
        if isinstance(ex, HeaderTooLarge):
            message = f"header: must be at most {MAX_HEADER_BYTES} bytes"
            return ("431", _refusal("431 Request Header Fields Too Large", message))
        reason = str(ex)[:200] or type(ex).__name__
        log.info("request cannot be read as HTTP: %s", reason)
        message = f"request: cannot be read as HTTP: {reason}"
        return ("400", _refusal("400 Bad Request", message))

    def get_environ(self):
        """Return the environment, with the connection for the DisconnectDetector."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        return environ

    def handle_one_response(self):
        """Count the request as in flight until it is answered."""
        server, conn = self.server, self.socket
        server.idle_connections.discard(conn)
        server.begin_request()
        try:
            super().handle_one_response()
        finally:
            server.end_request()
            if server.stopping:
                self.close_connection = True
            else:
                server.idle_connections.add(conn)

    def finalize_headers(self):
        """Announce that the connection closes if the server has begun to stop."""
        super().finalize_headers()
        names = {name.lower() for name, _ in self.response_headers}
        if self.server.stopping and b"connection" not in names:
            self.response_headers.append((b"Connection", b"close"))
            self.close_connection = True

    def _log_error(self, t, v, tb):
        if isinstance(v, TimeoutError):
            log.info("caller did not read or write for %d s", IDLE_TIMEOUT_SECONDS)
        elif not issubclass(t, gevent.GreenletExit):
            log.error("request failed", exc_info=(t, v, tb))

    def run_application(self):
        """Run the application, then discard a limited part of an unread body."""
        try:
            super().run_application()
        finally:
            has_body = self.content_length or "HTTP_TRANSFER_ENCODING" in self.environ
            if has_body and not self.environ.get(BODY_READ_KEY):
                self._discard_body()

    def _discard_body(self) -> None:
        """Read part of a body, so that a caller that still sends gets the answer.

        Then the connection is closed. The base class would read the rest of the body,
        however long it is.
        """
        try:
            with gevent.Timeout(DISCARD_TIMEOUT_SECONDS, TimeoutError("body is late")):
                self.wsgi_input.read(MAX_DISCARD_BYTES)
        except OSError:
            pass
        self.wsgi_input = _NoInput()
        self.close_connection = True

    def log_request(self):
        """Write no access log; metrics and traces contain more."""


class _NoInput:
    """Replacement for a body of which nothing more is read."""

    def _discard(self) -> None:
        """Read nothing."""


def _refusal(status: str, message: str) -> bytes:
    """Return a complete HTTP response for a request that cannot be read."""
    body = json.dumps(error_body(message, "invalid_request", message.split(":")[0]))
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
        f"{OUTCOME_HEADER}: not_run\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return (head + body).encode()


class _ErrorLog:
    """Log stream for the messages that gevent writes about connections."""

    def write(self, line: str) -> None:
        """Log one line."""
        log.info("server: %s", line.strip()[:300])


class CallerServer(WSGIServer):
    """HTTP server for callers."""

    handler_class = CallerHandler

    def __init__(
        self, settings: CallerSettings, application, timers: TimerService, port=None
    ):
        options = {}
        if settings.tls_certificate:
            self._tls = ReloadingTlsContext(settings)
            options["ssl_context"] = self._tls.context
            timers.subscribe(
                "requests.tls", TLS_CHECK_INTERVAL_SECONDS, self._tls.reload
            )
        address = (settings.address, settings.port if port is None else port)
        super().__init__(
            address,
            application,
            backlog=LISTEN_BACKLOG,
            spawn=Pool(settings.max_in_flight * CONNECTIONS_PER_REQUEST),
            log=None,
            error_log=_ErrorLog(),
            **options,
        )
        self.idle_connections: set = set()
        self.stopping = False
        self._in_flight = 0
        self._none_in_flight = Event()
        self._none_in_flight.set()

    def begin_request(self) -> None:
        """Count a request as in flight."""
        self._in_flight += 1
        self._none_in_flight.clear()

    def end_request(self) -> None:
        """Count a request as answered."""
        self._in_flight -= 1
        if self._in_flight == 0:
            self._none_in_flight.set()

    def close_gracefully(self, limit_seconds: float | None = None) -> bool:
        """Stop accepting, wait for the requests in flight, and close the server.

        Return whether all requests ended within the limit; without a limit, wait until
        they do.
        """
        self.stopping = True
        self._accept_waiting()
        self.close()
        for conn in list(self.idle_connections):
            if not is_readable(conn):
                _shut_down(conn)
        # Requests count as in flight once the connections accepted last were read.
        gevent.sleep(ACCEPTED_READ_SECONDS)
        ended = self._none_in_flight.wait(limit_seconds) or self._in_flight == 0
        self.stop(timeout=1.0)
        return ended

    def _accept_waiting(self) -> None:
        """Serve the connections that the kernel has accepted.

        It would reset them with the listening socket, although their requests may have
        arrived whole.
        """
        if self.closed:
            return
        try:
            while (accepted := self.do_read()) is not None:
                self.do_handle(*accepted)
        except OSError as exc:
            log.warning("connection not accepted: %s", exc)


class ReloadingTlsContext:
    """TLS context of the server, which reloads its key when the files change."""

    def __init__(self, settings: CallerSettings):
        self._files = (settings.tls_certificate, settings.tls_key)
        self.context = SSLContext(std_ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = std_ssl.TLSVersion.TLSv1_2
        self.context.load_cert_chain(*self._files)
        self._loaded = digest_files(*self._files)

    def reload(self) -> bool:
        """Load changed files for new connections; return whether they were loaded."""
        try:
            digest = digest_files(*self._files)
            if digest == self._loaded:
                return False
            # Loaded into a context of its own first, so that an invalid pair does not
            # affect the one in use.
            candidate = SSLContext(std_ssl.PROTOCOL_TLS_SERVER)
            candidate.load_cert_chain(*self._files)
            self.context.load_cert_chain(*self._files)
        except (OSError, ValueError) as exc:
            log.warning("new TLS key cannot be loaded: %s", exc)
            return False
        self._loaded = digest
        log.info("TLS key reloaded")
        return True


def _shut_down(conn) -> None:
    """Shut an idle connection down, so that its task ends."""
    try:
        conn.shutdown(2)
    except OSError:
        pass
