"""Errors of requests to the HTTP servers."""

from __future__ import annotations

from apricotcart.errors.tree import NOT_RUN, ApricotcartError


class RequestError(ApricotcartError):
    """The request is invalid and was not run."""

    code = 'bad_request'
    http_status = 400
    run_state = NOT_RUN


class InvalidJsonError(RequestError):
    """The body is not a JSON object."""

    code = 'invalid_json'


class InvalidFieldError(RequestError):
    """A field of the body is missing or invalid."""

    code = 'invalid_field'


class UnauthorizedError(RequestError):
    """The request has no key, or its key is not accepted."""

    code = 'unauthorized'
    http_status = 401


class ForbiddenError(RequestError):
    """The key's customer may not access what it requests."""

    code = 'forbidden'
    http_status = 403


class UnknownPathError(RequestError):
    """The path is unknown."""

    code = 'unknown_path'
    http_status = 404


class MethodError(RequestError):
    """The path does not support this method."""

    code = 'method_not_allowed'
    http_status = 405


class RequestTimeoutError(RequestError):
    """The request did not arrive before its deadline."""

    code = 'request_timeout'
    http_status = 408


class BodyTooLargeError(RequestError):
    """The body exceeds the size limit."""

    code = 'body_too_large'
    http_status = 413


class HeadTooLargeError(RequestError):
    """The request line and headers exceed the size limit."""

    code = 'head_too_large'
    http_status = 431


class IncompleteBodyError(RequestError):
    """The connection ended before the whole body arrived."""

    code = 'incomplete_body'
