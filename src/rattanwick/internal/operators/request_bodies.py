"""Checks of operators' JSON bodies, with errors that name the field."""

import json

import falcon

from rattanwick.internal.state.list_format import MAX_TEXT_BYTES

MAX_BODY_BYTES = 4 * MAX_TEXT_BYTES
MAX_AUTHOR_CHARACTERS = 200


def read_body(req: falcon.Request) -> dict:
    """Return the JSON object in a request's body; raise falcon.HTTPError if invalid."""
    length = req.content_length
    if length is None:
        raise falcon.HTTPLengthRequired(description="send Content-Length")
    if length > MAX_BODY_BYTES:
        raise falcon.HTTPContentTooLarge(
            description=f"the body is longer than {MAX_BODY_BYTES} bytes"
        )
    try:
        body = json.loads(req.bounded_stream.read())
    except (ValueError, RecursionError):
        raise falcon.HTTPBadRequest(description="the body is not JSON")
    if not isinstance(body, dict):
        raise falcon.HTTPBadRequest(description="the body is not a JSON object")
    return body


def read_field(body: dict, name: str, kind: type, default: object = None):
    """Return a field whose type is exactly ``kind``; raise HTTPBadRequest otherwise.

    Subtypes are refused, because a JSON true would pass as an int.
    """
    value = body.get(name, default)
    if type(value) is not kind:
        raise falcon.HTTPBadRequest(
            title="field missing or invalid",
            description=f"{name}: write a value of type {kind.__name__}",
        )
    return value


def read_author(body: dict) -> str:
    """Return the author of an edit, ``operator`` if the field is missing.

    Raises HTTPBadRequest unless it is one printable line of at most
    MAX_AUTHOR_CHARACTERS.
    """
    author = read_field(body, "author", str, "operator")
    if len(author) > MAX_AUTHOR_CHARACTERS or not author.isprintable():
        raise falcon.HTTPBadRequest(
            title="field missing or invalid",
            description=f"author: write one line of at most {MAX_AUTHOR_CHARACTERS} "
            "characters",
        )
    return author
