#include "radishroute/http_header.h"

#include <algorithm>

namespace radishroute {

namespace {

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

}  // namespace

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return ToLower(x) == ToLower(y);
         });
}

const std::string* FindHeader(const std::vector<http_header>& headers, std::string_view name) {
  for (const http_header& header : headers) {
    if (EqualIgnoringCase(header.name, name)) return &header.value;
  }
  return nullptr;
}

}  // namespace radishroute
