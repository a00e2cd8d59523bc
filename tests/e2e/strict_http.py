"""HTTP client that accepts only well-formed responses, so that a test cannot take a broken one for whole.

http.client reads heads leniently: it folds lines, and takes the rest of a head for body after a line
that is no field."""

import http.client
import io
import re

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}( [\t\x20-\x7e\x80-\xff]*)?\r\n")
FIELD_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n")
MAX_LINE = 65536


class MalformedResponse(http.client.HTTPException):
    pass


def read_line(stream, pattern):
    line = stream.readline(MAX_LINE + 1)
    if not line:
        raise http.client.RemoteDisconnected("the connection ended within a head")
    if line != b"\r\n" and not pattern.fullmatch(line):
        raise MalformedResponse(line[:200])
    return line


def read_head(stream):
    """Returns the head of the next final response with its blank line."""
    while True:
        status = read_line(stream, STATUS_LINE)
        lines = [status]
        while lines[-1] != b"\r\n":
            lines.append(read_line(stream, FIELD_LINE))
        if len(lines) == 1 or status.split()[1] == b"101":
            raise MalformedResponse(status)
        if not status.split()[1].startswith(b"1"):
            return b"".join(lines)


class StrictResponse(http.client.HTTPResponse):
    def begin(self):
        if self.headers is not None:
            return
        stream = self.fp
        self.fp = io.BytesIO(read_head(stream))
        super().begin()
        self.fp = stream


class StrictConnection(http.client.HTTPConnection):
    response_class = StrictResponse


def call(address, method, path, body=None, headers=None, timeout=5):
    """Returns the status, the body and the headers of a whole response; raises OSError or
    HTTPException for any other."""
    connection = StrictConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read(), response.headers
    finally:
        connection.close()
