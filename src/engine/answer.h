#ifndef RADISHROUTE_ENGINE_ANSWER_H_
#define RADISHROUTE_ENGINE_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishroute {

inline constexpr std::size_t kBytesPerPromptToken = 4;

/// The answer that an engine stand-in gives to a request body, a function of the body alone, so
/// that a load generator can check every byte.
class engine_answer {
 public:
  /// `body` is a chat completions request. Tokens = its max_tokens, or 128.
  explicit engine_answer(std::string_view body);

  std::uint32_t Tokens() const { return tokens_; }
  std::uint32_t PromptTokens() const { return prompt_tokens_; }
  bool Stream() const { return stream_; }
  /// Text of all messages.
  const std::string& Prompt() const { return prompt_; }
  const std::string& Model() const { return model_; }
  const char* ContentType() const;

  /// Bytes that token `index` adds to a streamed answer.
  std::string StreamToken(std::uint32_t index) const;

  /// Last bytes of a streamed answer.
  static std::string StreamEnd() { return "data: [DONE]\n\n"; }

  /// The whole answer's bytes, streamed or plain.
  std::string Whole() const;

 private:
  std::string Token(std::uint32_t index) const;

  std::uint64_t seed_ = 0;
  std::uint32_t tokens_ = 128;
  std::uint32_t prompt_tokens_ = 0;
  bool stream_ = false;
  std::string prompt_;
  std::string model_;
};

/// Answer of a plain service stand-in to a call with this body.
std::string ServiceAnswer(std::string_view body);

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_ANSWER_H_
