#ifndef RADISHROUTE_IO_SECRET_H_
#define RADISHROUTE_IO_SECRET_H_

#include <openssl/crypto.h>

#include <string_view>

namespace radishroute {

/// Compares two secrets in a time that depends on their lengths only.
inline bool SecretsEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace radishroute

#endif  // RADISHROUTE_IO_SECRET_H_
