#include "engine/answer.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "radishroute/types.h"

namespace radishroute {

namespace {

std::string Hex(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(value));
  return std::string(text.data());
}

}  // namespace

engine_answer::engine_answer(std::string_view body) : seed_(StableHash(body)) {
  nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_object()) return;
  if (auto it = parsed.find("max_tokens"); it != parsed.end() && it->is_number_unsigned()) {
    tokens_ = it->get<std::uint32_t>();
  }
  if (auto it = parsed.find("stream"); it != parsed.end() && it->is_boolean()) {
    stream_ = it->get<bool>();
  }
  if (auto it = parsed.find("model"); it != parsed.end() && it->is_string()) {
    model_ = it->get<std::string>();
  }
  if (auto it = parsed.find("messages"); it != parsed.end() && it->is_array()) {
    for (const auto& entry : *it) {
      if (!entry.is_object()) continue;
      auto content = entry.find("content");
      if (content != entry.end() && content->is_string()) prompt_ += content->get<std::string>();
    }
  }
  prompt_tokens_ = static_cast<std::uint32_t>(prompt_.size() / kBytesPerPromptToken);
}

const char* engine_answer::ContentType() const {
  return stream_ ? "text/event-stream" : "application/json";
}

std::string engine_answer::Token(std::uint32_t index) const {
  return Hex(StableHash({}, seed_ + index)) + " ";
}

std::string engine_answer::StreamToken(std::uint32_t index) const {
  return R"(data: {"choices":[{"index":0,"delta":{"content":")" + Token(index) + "\"}}]}\n\n";
}

std::string engine_answer::Whole() const {
  std::string text;
  for (std::uint32_t i = 0; i < tokens_; ++i) text += stream_ ? StreamToken(i) : Token(i);
  if (stream_) return text + StreamEnd();
  nlohmann::json message = {{"role", "assistant"}, {"content", text}};
  nlohmann::json answer = {{"object", "chat.completion"},
                           {"choices", {{{"index", 0}, {"message", message}}}},
                           {"usage", {{"completion_tokens", tokens_}}}};
  return answer.dump();
}

std::string ServiceAnswer(std::string_view body) {
  return R"({"accepted":")" + Hex(StableHash(body)) + "\"}";
}

}  // namespace radishroute
