#include <cstddef>
#include <cstdint>
#include <string_view>

#include "io/storage_record.h"

// The first byte selects the decoder: mutations rarely pass the checksum in front of the payloads.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  radishroute::log_batch batch;
  radishroute::log_snapshot snapshot;
  radishroute::vote_record vote;
  if (data[0] % 4 == 0) (void)radishroute::ScanRecords(bytes);
  if (data[0] % 4 == 1) (void)radishroute::DecodePayload(bytes, batch);
  if (data[0] % 4 == 2) (void)radishroute::DecodePayload(bytes, snapshot);
  if (data[0] % 4 == 3) (void)radishroute::DecodePayload(bytes, vote);
  return 0;
}
