#include "cli/admin_http.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace radishroute {

// Guards against the end of a controller by the name of a peer's zone that is no valid UTF-8.
TEST_CASE("an answer replaces what is not valid UTF-8") {
  for (const char* name : {"\xff", "zone-\xc3", "\xed\xa0\x80", "a\xf0\x9f"}) {
    nlohmann::json answer = {{"zone", name}};
    CHECK(nlohmann::json::accept(JsonText(answer)));
  }
  CHECK(JsonText({{"zone", "west"}}) == "{\"zone\":\"west\"}");
}

}  // namespace radishroute
