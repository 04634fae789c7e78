"""Check Signature Version 4 of requests to the platform fake."""

import re

from botocore.auth import S3SigV4Auth, SigV4Auth
from botocore.awsrequest import AWSRequest

from fakes.platform_state import Call
from rattanwick.internal.platform.signing import S3, Credentials

AUTHORIZATION = re.compile(
    r"^AWS4-HMAC-SHA256 Credential=([^/]+)/\d{8}/([^/]+)/([^/]+)/aws4_request, "
    r"SignedHeaders=([^,]+), Signature=([0-9a-f]{64})$"
)


class SignatureCheck:
    """Compare signatures once secrets were set; before that check their form."""

    def __init__(self):
        self.secrets: dict[str, str] = {}  # by access key

    def accepts(self, call: Call, target: str) -> bool:
        """Tell whether a request is signed; ``target`` is its raw path and query."""
        match = AUTHORIZATION.match(call.headers.get("authorization", ""))
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
        signed = {name: call.headers.get(name, "") for name in names.split(";")}
        url = f"http://{call.headers['host']}{target}"
        request = AWSRequest(call.method, url, signed, call.body)
        request.context["timestamp"] = call.headers["x-amz-date"]
        if service == S3:
            # The client states the hash; the one of the received body counts.
            del request.headers["X-Amz-Content-SHA256"]
            request.headers["X-Amz-Content-SHA256"] = signer.payload(request)
        text = signer.string_to_sign(request, signer.canonical_request(request))
        return signer.signature(text, request) == signature
