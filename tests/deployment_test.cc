#include "radishroute/forward/deployment.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "cli/documents.h"
#include "fake_context.h"
#include "platform/config_wire.h"
#include "platform/http_wire.h"
#include "radishroute/compression.h"
#include "radishroute/config.h"
#include "radishroute/error.h"

namespace radishroute {

namespace {

std::string MakeDocument(const std::string& routes, const std::string& tenants = "[]") {
  return R"({"version":7,"routes":)" + routes + R"(,"services":[{"name":"s"}],"tenants":)" +
         tenants + "}";
}

const std::string streaming_route =
    R"({"host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":8000,"service":"s"})";

std::error_code DecodeError(const std::string& text) {
  deployment out;
  return platform::DecodeDeployment(text, out);
}

config_change MakeChange(std::uint64_t version, const std::string& text) {
  config_change change;
  change.base_version = version;
  change.change_id = "v";
  change.sheet = text;
  change.precedence = config_precedence::kHighestVersion;
  return change;
}

}  // namespace

// Guards against routing a request by a shorter prefix when several prefixes match its path.
TEST_CASE("the route with the longest matching path prefix is found") {
  deployment d;
  d.version = 1;
  d.services = {{"s", {}, 0, std::nullopt}};
  for (const char* prefix : {"/", "/a/", "/a/b/"}) {
    route r;
    r.name = prefix;
    r.host = "h";
    r.path_prefix = prefix;
    d.routes.push_back(r);
  }
  route_index index(d);
  CHECK(index.Find("h", "/a/b/c")->name == "/a/b/");
  CHECK(index.Find("h", "/a/b")->name == "/a/");
  CHECK(index.Find("h", "/x")->name == "/");
  CHECK(index.Find("other", "/a/b/c") == nullptr);
}

// Guards against accepting a configuration that is truncated, or has duplicate routes, unknown
// services, a zero timeout or weight, or an API key of two members.
TEST_CASE("malformed and inconsistent configurations are rejected") {
  CHECK(!DecodeError(MakeDocument("[" + streaming_route + "]")));
  CHECK(DecodeError(MakeDocument("[" + streaming_route + "]").substr(0, 60)) ==
        errc::kMalformedCall);
  CHECK(DecodeError(MakeDocument("[" + streaming_route + "," + streaming_route + "]")) ==
        errc::kInvalidDeployment);
  CHECK(DecodeError(
      MakeDocument(R"([{"host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":0,)"
                   R"("service":"s"}])")));
  CHECK(DecodeError(
      MakeDocument(R"([{"host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":9,)"
                   R"("service":"unknown"}])")));
  CHECK(DecodeError(
      MakeDocument(R"([{"host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":9,)"
                   R"("trafficSplit":[{"service":"s","weight":0}]}])")));
  CHECK(DecodeError(
      MakeDocument("[]", R"([{"name":"x","apiKeys":["k"]},{"name":"y","apiKeys":["k"]}])")));
}

// Guards against routes that open to everybody when a configuration takes away the last tenant: the
// presence of the list decides, also if it is empty or null.
TEST_CASE("a configuration with an empty list of tenants requires keys") {
  auto decode = [](const std::string& tenants) {
    deployment out;
    std::string text = R"({"version":7,"routes":[)" + streaming_route +
                       R"(],"services":[{"name":"s"}])" + tenants + "}";
    REQUIRE(!platform::DecodeDeployment(text, out));
    return out;
  };
  CHECK(!route_index(decode("")).RequiresKey());
  for (const char* tenants :
       {R"(,"tenants":[])", R"(,"tenants":null)", R"(,"tenants":[{"name":"x"}])",
        R"(,"tenants":[{"name":"x","apiKeys":[]}])", R"(,"tenants":[{"name":"x","apiKeys":null}])",
        R"(,"tenants":[{"name":"x","apiKeys":[""]}])"}) {
    INFO(tenants);
    route_index index(decode(tenants));
    CHECK(index.RequiresKey());
    CHECK(index.FindMember("") == nullptr);
    CHECK(index.FindMember("key") == nullptr);
  }
}

// Guards against a list of tenants that is empty in the log and absent in a snapshot, or in what a
// gateway reads.
TEST_CASE("an empty list of tenants stays one from the log to a gateway") {
  fake_context fake;
  config_document document;
  std::string text = R"({"version":7,"routes":[],"services":[],"tenants":[]})";
  std::string stored;
  REQUIRE(!Compress(text, stored));
  fake.Do([&](auto& ctx) { document.Apply(MakeChange(7, stored), ctx); });
  config_document restored;
  REQUIRE(restored.Load(document.Save()));
  publish_document published{restored.Version(),
                             std::make_shared<const std::string>(restored.Sheet())};
  auto index = ReadDocument(published);
  REQUIRE(index != nullptr);
  CHECK(index->RequiresKey());
}

// Guards against accepting a split without weight because the route names a service as well.
TEST_CASE("weights that add up to zero are invalid beside a service") {
  auto error_with_weight = [](int weight) {
    return DecodeError(
        MakeDocument(R"([{"host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":9,)"
                     R"("service":"s","trafficSplit":[{"service":"s","weight":)" +
                     std::to_string(weight) + "}]}]"));
  };
  CHECK(error_with_weight(0) == errc::kMalformedCall);
  CHECK(!error_with_weight(1));
}

// Guards against a configuration that reverts to an older version, or changes without a new
// version.
TEST_CASE("the highest version takes precedence") {
  fake_context fake;
  config_document document;
  auto apply = [&](std::uint64_t version, const std::string& text) {
    change_verdict verdict = change_verdict::kMissingChangeId;
    fake.Do([&](auto& ctx) { verdict = document.Apply(MakeChange(version, text), ctx).verdict; });
    return verdict;
  };
  CHECK(apply(7, "seven") == change_verdict::kCommitted);
  CHECK(apply(9, "nine") == change_verdict::kCommitted);
  CHECK(apply(7, "seven") == change_verdict::kCommitted);
  CHECK(apply(9, "other") == change_verdict::kCommitted);
  CHECK(document.Version() == 9);
  CHECK(document.Sheet() == "nine");
  config_document restored;
  CHECK(restored.Load(document.Save()));
  CHECK(restored.Sheet() == "nine");
}

// Guards against leaking the API key to an engine, and against a workspace name forged by the
// caller.
TEST_CASE("an engine receives the workspace name but not the API key") {
  received_request received;
  received.head.method = "POST";
  received.head.target = "/a/1?q=2";
  received.head.headers = {{"Host", "h:80"},
                           {"Authorization", "Bearer secret"},
                           {"Tenant", "forged"},
                           {"Connection", "close, X-Hop"},
                           {"X-Hop", "1"},
                           {"Deadline-Ms", "8000"},
                           {"Token-Usage", "1460,80"},
                           {"X-Kept", "yes"}};
  received.body = "body";
  auto request = platform::http_wire::DecodeRequest(std::move(received));
  CHECK(request->key == "secret");
  CHECK(request->host == "h");
  CHECK(request->path == "/a/1");
  CHECK(request->prompt_tokens == 1460);
  start_upstream call;
  call.request = request;
  call.backend = "i-1";
  call.member = "club";
  call.time_left = std::chrono::milliseconds(7000);
  std::string bytes = platform::http_wire::EncodeRequest(call);
  CHECK(bytes.starts_with("POST /a/1?q=2 HTTP/1.1\r\n"));
  CHECK(bytes.find("Tenant: club\r\n") != std::string::npos);
  CHECK(bytes.find("Target-Instance: i-1\r\n") != std::string::npos);
  CHECK(bytes.find("Deadline-Ms: 7000\r\n") != std::string::npos);
  CHECK(bytes.find("X-Kept: yes\r\n") != std::string::npos);
  CHECK(bytes.ends_with("Content-Length: 4\r\n\r\nbody"));
  for (const char* absent : {"secret", "forged", "X-Hop", "8000"}) {
    INFO(absent);
    CHECK(bytes.find(absent) == std::string::npos);
  }
}

// Guards against names of the platform's wire format in the rest of the code.
TEST_CASE("the platform's names occur only in its folder") {
  const std::vector<std::string> names = {
      "heartbeatAddr", "pathPrefix",      "trafficSplit", "Token-Usage", "Prompt-Prefix",
      "Not-Executed",  "Target-Instance", "Deadline-Ms",  "Server-Load", "kvUsed",
      "apiKeys",       "targetLatencyMs", "fenceToken",   "Length-Hint", "Response-Signature"};
  for (const char* folder : {"src", "include"}) {
    auto root = std::filesystem::path(SOURCE_DIR) / folder;
    for (const auto& item : std::filesystem::recursive_directory_iterator(root)) {
      if (!item.is_regular_file()) continue;
      std::ifstream file(item.path());
      std::ostringstream text;
      text << file.rdbuf();
      for (const std::string& name : names) {
        INFO(item.path() << " " << name);
        CHECK(text.str().find(name) == std::string::npos);
      }
    }
  }
}

}  // namespace radishroute
