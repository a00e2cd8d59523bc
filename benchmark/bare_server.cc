// A bare libwebsockets server that gives the answer of the service stand-in: the bound that the
// throughput of the request path is compared with. Not a Google Benchmark, since the load comes
// from another process.

#include <libwebsockets.h>

#include <array>
#include <charconv>
#include <cstring>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace {

// As long as the answer of the service stand-in.
constexpr std::string_view kAnswer = R"({"accepted":"01234567"})";

int OnHttp(lws* wsi, lws_callback_reasons reason, void*, void*, size_t) {
  switch (reason) {
    case LWS_CALLBACK_HTTP:
      return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      lws_callback_on_writable(wsi);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE: {
      std::array<unsigned char, LWS_PRE + 1024> buffer{};
      unsigned char* start = buffer.data() + LWS_PRE;
      unsigned char* p = start;
      unsigned char* end = buffer.data() + buffer.size() - 1;
      if (lws_add_http_common_headers(wsi, 200, "application/json", kAnswer.size(), &p, end) != 0) {
        return 1;
      }
      if (lws_finalize_write_http_header(wsi, start, &p, end) != 0) return 1;
      std::memcpy(start, kAnswer.data(), kAnswer.size());
      if (lws_write(wsi, start, kAnswer.size(), LWS_WRITE_HTTP_FINAL) < 0) return 1;
      return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
    }
    default:
      return 0;
  }
}

/// Runs one event loop on its own port.
void Serve(int port) {
  const std::array<lws_protocols, 2> protocols = {
      lws_protocols{"http", OnHttp, 0, 16384, 0, nullptr, 0}, lws_protocols{}};
  lws_context_creation_info info{};
  info.port = port;
  info.iface = "127.0.0.1";
  info.protocols = protocols.data();
  info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
  lws_context* context = lws_create_context(&info);
  if (context == nullptr) {
    std::cerr << "cannot listen\n";
    return;
  }
  // Until a signal ends the process.
  while (lws_service(context, 0) >= 0) {
  }
  lws_context_destroy(context);
}

int Number(const char* text) {
  int value = 0;
  std::from_chars(text, text + std::strlen(text), value);
  return value;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: bare_server FIRST_PORT THREADS\n";
    return 2;
  }
  lws_set_log_level(LLL_ERR, nullptr);
  std::vector<std::thread> threads;
  for (int i = 1; i < Number(argv[2]); ++i) threads.emplace_back(Serve, Number(argv[1]) + i);
  Serve(Number(argv[1]));
  for (std::thread& thread : threads) thread.join();
  return 0;
}
