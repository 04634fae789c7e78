"""Verification of AWS Signature Version 4 for requests to the fake platform."""

import re

from botocore.auth import S3SigV4Auth, SigV4Auth
from botocore.awsrequest import AWSRequest

from fakes.platform_state import HttpRequest
from rattanwick.internal.platform.signing import S3, Credentials

AUTHORIZATION = re.compile(
    r"^AWS4-HMAC-SHA256 Credential=([^/]+)/\d{8}/([^/]+)/([^/]+)/aws4_request, "
    r"SignedHeaders=([^,]+), Signature=([0-9a-f]{64})$"
)


class SignatureChecker:
    """Verifies signatures once secrets are set; before that, only their format."""

    def __init__(self):
        self.secrets: dict[str, str] = {}  # by access key

    def accepts(self, http_request: HttpRequest, target: str) -> bool:
        """Return whether a signature is valid; ``target`` is the raw path and query."""
        match = AUTHORIZATION.match(http_request.headers.get("authorization", ""))
        if match is None:
            return False
        if not self.secrets:
            return True
        access_key, region, service, names, signature = match.groups()
        if access_key not in self.secrets:
            return False
        credentials = Credentials(
            access_key=access_key, secret_key=self.secrets[access_key]
        )
        kind = S3SigV4Auth if service == S3 else SigV4Auth
        signer = kind(credentials, service, region)
        signed = {name: http_request.headers.get(name, "") for name in names.split(";")}
        url = f"http://{http_request.headers['host']}{target}"
        request = AWSRequest(http_request.method, url, signed, http_request.body)
        request.context["timestamp"] = http_request.headers["x-amz-date"]
        if service == S3:
            # Sign the hash of the received body, not the hash that the client states.
            del request.headers["X-Amz-Content-SHA256"]
            request.headers["X-Amz-Content-SHA256"] = signer.payload(request)
        text = signer.string_to_sign(request, signer.canonical_request(request))
        return signer.signature(text, request) == signature
