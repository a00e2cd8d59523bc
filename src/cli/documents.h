#ifndef RADISHROUTE_CLI_DOCUMENTS_H_
#define RADISHROUTE_CLI_DOCUMENTS_H_

#include <memory>

#include "radishroute/document_event.h"
#include "radishroute/forward/deployment.h"

namespace radishroute {

/// Reads a committed document and logs the outcome; null if it cannot be read.
std::shared_ptr<const route_index> ReadDocument(const publish_document& d);

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_DOCUMENTS_H_
