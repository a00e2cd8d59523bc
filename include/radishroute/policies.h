#ifndef RADISHROUTE_POLICIES_H_
#define RADISHROUTE_POLICIES_H_

#include "radishroute/baseline.h"

// The policy sets that the program is built with. Each reducer template is instantiated for every
// one of them at the end of its source file.

#endif  // RADISHROUTE_POLICIES_H_
