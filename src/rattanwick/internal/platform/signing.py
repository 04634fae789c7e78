"""Request signing with AWS Signature Version 4 and its credentials."""

from dataclasses import dataclass, field

from botocore.auth import S3SigV4Auth, SigV4Auth
from botocore.awsrequest import AWSRequest

from rattanwick.internal.base.files import digest_files
from rattanwick.internal.base.ini import (
    SettingProblem,
    SettingsError,
    parse_ini,
    read_section,
)
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.setting_types import setting, text
from rattanwick.internal.base.timers import TimerService

log = get_logger("platform")

SECTION = "credentials"
RELOAD_INTERVAL_SECONDS = 10.0
S3 = "s3"


@dataclass(slots=True, kw_only=True)
class Credentials:
    """Keys that sign requests; ``repr`` does not show them."""

    access_key: str = setting(text, "access key id")
    secret_key: str = setting(text, "the secret")
    token: str = setting(text, "session token", "")

    def __repr__(self) -> str:
        return "Credentials(...)"


def load_credentials(path: str) -> Credentials:
    """Return the credentials in a file; raise SettingsError with all problems."""
    try:
        with open(path, encoding="utf-8") as file:
            content = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        expected = "the path of a readable INI file in UTF-8"
        raise SettingsError([SettingProblem(path, SECTION, "", str(exc), expected)])
    parser = parse_ini(path, content)
    values = dict(parser[SECTION]) if parser.has_section(SECTION) else {}
    problems: list[SettingProblem] = []
    credentials = read_section(path, SECTION, values, Credentials, problems)
    if problems:
        raise SettingsError(problems)
    return credentials


class CredentialsFile:
    """Credentials from a file, which is read again after it has changed."""

    def __init__(self, path: str, timers: TimerService):
        self._path = path
        self._timers = timers
        self._checked_at = timers.now()
        self._digest = digest_files(path)
        self._credentials = load_credentials(path)

    def current(self) -> Credentials:
        """Return the newest valid credentials."""
        now = self._timers.now()
        if now - self._checked_at >= RELOAD_INTERVAL_SECONDS:
            self._checked_at = now
            self._reload()
        return self._credentials

    def _reload(self) -> None:
        try:
            digest = digest_files(self._path)
            if digest == self._digest:
                return
            self._credentials = load_credentials(self._path)
            self._digest = digest
        except (OSError, SettingsError) as exc:
            log.error("cannot reload the credentials; using the earlier ones: %s", exc)


@dataclass(slots=True)
class RequestSigner:
    """Signer of requests to one service."""

    credentials: CredentialsFile
    service: str
    region: str
    _signer_class: type[SigV4Auth] = field(init=False)

    def __post_init__(self):
        self._signer_class = S3SigV4Auth if self.service == S3 else SigV4Auth

    def sign(
        self, method: str, url: str, headers: dict[str, str], body: bytes
    ) -> dict[str, str]:
        """Return the headers with the date and the signature added."""
        request = AWSRequest(method, url, headers, body)
        credentials = self.credentials.current()
        self._signer_class(credentials, self.service, self.region).add_auth(request)
        return dict(request.headers.items())
