#include "io/http_codec.h"

#include <catch2/catch.hpp>

#include "radishroute/error.h"

namespace radishroute {

namespace {

struct decoded_message {
  http_head head;
  std::string body;
  bool complete = false;
};

/// Feeds bytes one read at a time and keeps what was decoded.
struct decoder_fixture {
  std::vector<decoded_message> messages;
  http_decoder decoder;
  std::error_code error;

  explicit decoder_fixture(http_side side, std::size_t max_head = 4096)
      : decoder(side, max_head,
                {[this](http_head&& head) {
                   messages.push_back({std::move(head), {}, false});
                 },
                 [this](std::string_view bytes) { messages.back().body.append(bytes); },
                 [this] { messages.back().complete = true; }}) {}

  void Feed(std::string_view bytes, std::size_t step) {
    while (!bytes.empty() && !error) {
      std::string_view part = bytes.substr(0, step);
      std::size_t used = decoder.Feed(part, error);
      bytes.remove_prefix(std::max<std::size_t>(used, error ? part.size() : 1));
    }
  }
};

std::error_code ErrorOf(std::string_view request) {
  decoder_fixture fixture(http_side::kRequest);
  fixture.Feed(request, request.size());
  return fixture.error;
}

/// Decodes a response at once and byte by byte, which must give the same.
std::error_code ErrorOfResponse(std::string_view response) {
  decoder_fixture whole(http_side::kResponse);
  whole.Feed(response, response.size());
  decoder_fixture parts(http_side::kResponse);
  parts.Feed(response, 1);
  CHECK(whole.error == parts.error);
  CHECK(whole.messages.size() == parts.messages.size());
  return whole.error;
}

}  // namespace

// Guards against reading a body as a part of the head when the end of the head comes in two reads.
TEST_CASE("a request with a binary body is decoded wherever it is split") {
  std::string body = "a\nb\rc\r\n\r\nd\n\r";
  std::string request =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
      body;
  for (std::size_t split = 1; split < request.size(); ++split) {
    INFO(split);
    decoder_fixture fixture(http_side::kRequest);
    fixture.Feed(request.substr(0, split), split);
    fixture.Feed(request.substr(split), request.size());
    REQUIRE(!fixture.error);
    REQUIRE(fixture.messages.size() == 1);
    CHECK(fixture.messages.front().complete);
    CHECK(fixture.messages.front().body == body);
  }
}

// Guards against a request that changes on its way, in whatever pieces it comes.
TEST_CASE("a request is decoded with all headers, query and body") {
  std::string request =
      "POST /a/b?x=1&y=%20 HTTP/1.1\r\nHost: h.example\r\nX-Unknown: a, b\r\n"
      "Content-Length: 5\r\n\r\nhello";
  for (std::size_t step : {std::size_t{1}, std::size_t{7}, request.size()}) {
    decoder_fixture fixture(http_side::kRequest);
    fixture.Feed(request, step);
    REQUIRE(!fixture.error);
    REQUIRE(fixture.messages.size() == 1);
    const decoded_message& m = fixture.messages.front();
    CHECK(m.complete);
    CHECK(m.head.method == "POST");
    CHECK(m.head.target == "/a/b?x=1&y=%20");
    CHECK(*FindHeader(m.head.headers, "x-unknown") == "a, b");
    CHECK(m.body == "hello");
  }
}

// Guards against a request that is hidden in another one by framing that servers read differently.
TEST_CASE("ambiguous framing is rejected") {
  CHECK(
      ErrorOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
  CHECK(ErrorOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"));
  CHECK(ErrorOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\t\r\n\r\n0\r\n\r\n"));
  CHECK(ErrorOf("GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n"));
  CHECK(ErrorOf("GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n"));
  CHECK(ErrorOf("GET / HTTP/1.1\r\nHost: h\rX: y\r\n\r\n"));
  CHECK(ErrorOf("GET / HTTP/1.1\r\nHost : h\r\n\r\n"));
  CHECK(ErrorOf("not http\r\n\r\n"));
  CHECK(!ErrorOf("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
}

// Guards against a head that fills the memory.
TEST_CASE("a head beyond the limit is rejected") {
  decoder_fixture fixture(http_side::kRequest, 100);
  fixture.Feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'x'), 10);
  CHECK(fixture.error == errc::kHttpHeadTooLong);
}

// Guards against a second request that is read as the body of the first.
TEST_CASE("the decoder stops at the end of each message") {
  std::string both = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
  decoder_fixture fixture(http_side::kRequest);
  std::size_t used = fixture.decoder.Feed(both, fixture.error);
  REQUIRE(!fixture.error);
  CHECK(used == both.size() / 2);
  CHECK(fixture.messages.size() == 1);
  fixture.Feed(std::string_view(both).substr(used), 200);
  REQUIRE(fixture.messages.size() == 2);
  CHECK(fixture.messages[1].head.target == "/2");
}

// Guards against a response without a length that was cut off and passes for a whole one.
TEST_CASE("a response ends with its length, its last chunk, or its connection") {
  decoder_fixture open_ended(http_side::kResponse);
  open_ended.Feed("HTTP/1.1 200 OK\r\n\r\npart", 5);
  CHECK(open_ended.decoder.InMessage());
  CHECK(!open_ended.messages.front().complete);
  CHECK(!open_ended.decoder.Finish());
  CHECK(open_ended.messages.front().complete);

  decoder_fixture counted(http_side::kResponse);
  counted.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", 5);
  CHECK(counted.decoder.Finish() == errc::kMalformedHttp);

  decoder_fixture chunked(http_side::kResponse);
  chunked.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", 3);
  CHECK(!chunked.messages.front().complete);
  chunked.Feed("0\r\n\r\n", 5);
  CHECK(chunked.messages.front().complete);
  CHECK(chunked.messages.front().body == "part");
}

// Guards against a status that no caller understands, or that is read as another one.
TEST_CASE("a status that no final response may have is rejected") {
  for (const char* status : {"000", "001", "099", "20", "2", "0200", "2000", "600", "999", "-20",
                             "+20", "2x0", "", " 200", "101"}) {
    INFO(status);
    std::string line = "HTTP/1.1 " + std::string(status) + " OK\r\n";
    CHECK(ErrorOfResponse(line + "Content-Length: 2\r\n\r\nok") == errc::kInvalidHttpStatus);
  }
  for (const char* status : {"200", "299", "404", "599"}) {
    INFO(status);
    std::string line = "HTTP/1.1 " + std::string(status);
    CHECK(!ErrorOfResponse(line + " OK\r\nContent-Length: 2\r\n\r\nok"));
    CHECK(!ErrorOfResponse(line + "\r\nContent-Length: 2\r\n\r\nok"));
    CHECK(!ErrorOfResponse(line + " \r\nContent-Length: 2\r\n\r\nok"));
  }
}

// Guards against a request that waits for the final response until its deadline.
TEST_CASE("an interim response with a body is rejected") {
  for (const char* status : {"100", "103", "150", "199"}) {
    INFO(status);
    std::string line = "HTTP/1.1 " + std::string(status) + " X\r\n";
    CHECK(ErrorOfResponse(line + "Content-Length: 2\r\n\r\n") == errc::kInvalidHttpStatus);
    CHECK(ErrorOfResponse(line + "Content-Length: 0\r\n\r\n") == errc::kInvalidHttpStatus);
    CHECK(ErrorOfResponse(line + "Transfer-Encoding: chunked\r\n\r\n") == errc::kInvalidHttpStatus);
    CHECK(!ErrorOfResponse(line + "Link: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    CHECK(ErrorOfResponse(line + "\r\nHTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n") ==
          errc::kInvalidHttpStatus);
  }
}

// Guards against a head in which another reader finds other fields, or the end at another place.
TEST_CASE("a response whose lines can be read in two ways is rejected") {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string rest = "Content-Length: 2\r\n\r\nok";
  using namespace std::string_literals;
  for (const std::string& line :
       {" X: y\r\n"s, "\tX: y\r\n"s, "X : y\r\n"s, "X\t: y\r\n"s, "X Y: z\r\n"s, "\1X: y\r\n"s,
        "X\1: y\r\n"s, "X\177Y: z\r\n"s, "X\0: y\r\n"s, "X\351: y\r\n"s, ": y\r\n"s, "X\r\n"s,
        "X: y\n"s, "X: y\rZ: z\r\n"s, "X: y\0\r\n"s, "X: y\r\n z\r\n"s, "X: y\r\n\tz\r\n"s,
        "X: y\r\n \r\n"s, "X: y\r\n Content-Length: 2\r\n"s}) {
    INFO(line);
    CHECK(ErrorOfResponse(status + line + rest) == errc::kMalformedHttp);
    CHECK(ErrorOfResponse(status + "A: b\r\n" + line + rest) == errc::kMalformedHttp);
    CHECK(ErrorOfResponse(status + "Content-Length: 2\r\n" + line + "\r\nok") ==
          errc::kMalformedHttp);
  }
  CHECK(ErrorOfResponse(status + "Content-Length: 2\r\n\nok") == errc::kMalformedHttp);
  CHECK(ErrorOfResponse(status + "Content-Length: 2\r\n\rok") == errc::kMalformedHttp);
  for (const std::string& line :
       {"\r\n" + status, " " + status, "HTTP/1.1 200 OK\n"s, "HTTP/1.1\t200 OK\r\n"s,
        "HTTP/1.1 200 O\0K\r\n"s, "HTTP/2.0 200 OK\r\n"s, "http/1.1 200 OK\r\n"s}) {
    INFO(line);
    CHECK(ErrorOfResponse(line + rest) == errc::kMalformedHttp);
  }
  for (const std::string& line :
       {"!#$%&'*+-.^_`|~09: v\r\n"s, "X:\r\n"s, "X: \t v \t\r\n"s, "X: \351\t\377\r\n"s}) {
    INFO(line);
    CHECK(!ErrorOfResponse(status + line + rest));
  }
}

// Guards against a body that another reader ends at another place, or that is not the one that was
// sent.
TEST_CASE("chunks and trailers that can be read in two ways are rejected") {
  using namespace std::string_literals;
  const std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& body : {"5\r\nhelloXX0\r\n\r\n"s,
                                  "5\nhello\r\n0\r\n\r\n"s,
                                  "5\rhello\r\n0\r\n\r\n"s,
                                  "5;a\nb\r\nhello\r\n0\r\n\r\n"s,
                                  "5;a\0b\r\nhello\r\n0\r\n\r\n"s,
                                  " 5\r\nhello\r\n0\r\n\r\n"s,
                                  "\r\nhello\r\n0\r\n\r\n"s,
                                  "+5\r\nhello\r\n0\r\n\r\n"s,
                                  "0x5\r\nhello\r\n0\r\n\r\n"s,
                                  "fffffffffffffffff\r\nhello"s,
                                  "5\r\nhello\r\n0\r\n\n"s,
                                  "5\r\nhello\r\n0\r\n\rX"s,
                                  "0\r\n X: y\r\n\r\n"s,
                                  "0\r\nX : y\r\n\r\n"s,
                                  "0\r\nX Y: z\r\n\r\n"s,
                                  "0\r\nX\1: y\r\n\r\n"s,
                                  "0\r\nX: y\n\r\n"s,
                                  "0\r\nX: y\r\n z\r\n\r\n"s,
                                  "0\r\nX: \0\r\n\r\n"s,
                                  "0\r\nX\r\n\r\n"s}) {
    INFO(body);
    CHECK(ErrorOfResponse(response + body) == errc::kInvalidHttpFraming);
    CHECK(ErrorOf(request + body) == errc::kInvalidHttpFraming);
  }
  for (const std::string& body :
       {"5\r\nhello\r\n0\r\n\r\n"s, "2;a=b\r\nhe\r\n03\r\nllo\r\n000;c\r\nX: y\r\n\r\n"s}) {
    INFO(body);
    CHECK(!ErrorOfResponse(response + body));
    CHECK(!ErrorOf(request + body));
  }
}

// Guards against a body that is handed on in a coding that its reader does not know of.
TEST_CASE("a response in another transfer coding than chunks is rejected") {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: ";
  const std::string body = "\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  for (const char* coding : {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
                             "xchunked", "chunked\r\nTransfer-Encoding: chunked"}) {
    INFO(coding);
    CHECK(ErrorOfResponse(head + coding + body) == errc::kInvalidHttpFraming);
  }
  CHECK(ErrorOfResponse("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + body) ==
        errc::kInvalidHttpFraming);
  for (const char* coding : {"chunked", "Chunked \t", "\tchunked\t", "chunked  "}) {
    INFO(coding);
    CHECK(!ErrorOfResponse(head + coding + body));
    decoder_fixture fixture(http_side::kResponse);
    fixture.Feed(head + coding + body, 5);
    REQUIRE(fixture.messages.size() == 1);
    CHECK(fixture.messages.front().complete);
    CHECK(fixture.messages.front().head.keep_alive);
    CHECK(fixture.messages.front().body == "hello");
  }
}

// Guards against bytes that are no response being handed to a caller.
TEST_CASE("bytes that are no response are rejected") {
  decoder_fixture fixture(http_side::kResponse);
  fixture.Feed("\x01garbage\r\n\r\n", 20);
  CHECK(fixture.error == errc::kMalformedHttp);
}

// Guards against a response that stopped in its head or its body and counts as a complete one with
// an empty or short body.
TEST_CASE("a response that stops at any byte before its end is not complete") {
  const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  const std::string with_length = start + "Content-Length: 5\r\n\r\nabcde";
  const std::string with_chunks =
      start + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";
  const std::string to_the_end = start + "Connection: close\r\n\r\n";
  const std::string feeds_only = "HTTP/1.1 200 OK\nRequest-Id: a\n\n";
  for (const std::string& response : {with_length, with_chunks, to_the_end, feeds_only}) {
    for (std::size_t step : {std::size_t{1}, response.size()}) {
      for (std::size_t end = 1; end < response.size(); ++end) {
        INFO(response.substr(0, end));
        decoder_fixture fixture(http_side::kResponse);
        fixture.Feed(response.substr(0, end), step);
        bool complete = !fixture.error && !fixture.decoder.Finish();
        CHECK(!complete);
        for (const decoded_message& message : fixture.messages) CHECK(!message.complete);
      }
    }
  }
}

}  // namespace radishroute
