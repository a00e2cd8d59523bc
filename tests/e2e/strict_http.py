"""HTTP client that accepts only well-formed responses, so that a test cannot take a broken one for whole.

http.client folds lines, takes the rest of a head for body after a line that is no field, and accepts
chunks whose lines or ends are missing."""

import http.client
import io
import re

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}( [\t\x20-\x7e\x80-\xff]*)?\r\n")
FIELD_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})([;\t ][\t\x20-\x7e\x80-\xff]*)?\r\n")
FRAMING = re.compile(rb"(content-length|transfer-encoding):[\t ]*(.*?)[\t ]*\r\n", re.IGNORECASE)
MAX_LINE = 65536


class MalformedResponse(http.client.HTTPException):
    pass


def read_line(stream, pattern):
    """Returns the match of a line, which may be an empty one; empty at the end of the connection."""
    line = stream.readline(MAX_LINE + 1)
    match = re.fullmatch(rb"\r\n|(?:)", line) or pattern.fullmatch(line)
    if not match and (line.endswith(b"\n") or len(line) > MAX_LINE):
        raise MalformedResponse(line[:200])
    return match


def read_head(stream):
    """Returns the head of the next final response with its blank line."""
    while True:
        lines, framing = [], []
        while not lines or lines[-1] != b"\r\n":
            match = read_line(stream, FIELD_LINE if lines else STATUS_LINE)
            if not match or not match.group():
                raise http.client.RemoteDisconnected("the connection ended within a head")
            # http.client takes a blank or a tab at the end for a part of the value.
            lines.append(re.sub(rb"[\t ]+\r\n$", b"\r\n", match.group()))
            framing += FRAMING.findall(lines[-1])
        status = lines[0].split()[1] if len(lines) > 1 else b"101"
        interim = status.startswith(b"1")
        is_coded = any(name.lower() == b"transfer-encoding" and value.lower() != b"chunked"
                       for name, value in framing)
        is_old = lines[0].startswith(b"HTTP/1.0") and any(
            name.lower() == b"transfer-encoding" for name, _ in framing)
        if status == b"101" or len(framing) > (0 if interim else 1) or is_coded or is_old:
            raise MalformedResponse(lines)
        if not interim:
            return b"".join(lines)


class StrictResponse(http.client.HTTPResponse):
    def begin(self):
        if self.headers is not None:
            return
        stream = self.fp
        self.fp = io.BytesIO(read_head(stream))
        super().begin()
        self.fp = stream

    def _get_chunk_left(self):
        """Size of what is left of the chunk; None after the last one and its trailers."""
        if self.chunk_left == 0 and self._safe_read(2) != b"\r\n":
            raise MalformedResponse("data beyond the size of a chunk")
        if not self.chunk_left:
            self.chunk_left = self._read_size()
            if self.chunk_left == 0:
                self._read_trailers()
                self._close_conn()
                self.chunk_left = None
        return self.chunk_left

    def _read_size(self):
        match = read_line(self.fp, CHUNK_LINE)
        if match and match.group() == b"\r\n":
            raise MalformedResponse("chunk without a size")
        if not match or not match.group():
            raise http.client.IncompleteRead(b"")
        return int(match.group(1), 16)

    def _read_trailers(self):
        match = None
        while not match or match.group() != b"\r\n":
            match = read_line(self.fp, FIELD_LINE)
            if not match or not match.group():
                raise http.client.IncompleteRead(b"")


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


def fetch(address, path, body=None):
    """Returns the body of a whole 200 to a GET, or to a POST with a body."""
    status, text, _ = call(address, "GET" if body is None else "POST", path, body)
    if status != 200:
        raise http.client.HTTPException(f"{path}: {status}")
    return text.decode()
