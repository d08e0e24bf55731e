// The sizes are those given in docs/design.md.
#include "bench/Deployment.h"

#include <stdexcept>

namespace cyclamencroft {

Deployment deploymentNamed(const std::string &Name) {
  Deployment Result;
  Result.m_Name = Name;
  if (Name == "regie") {
    Result.m_Service = "permit-desk";
    Result.m_Hedging = true;
    return Result;
  }
  if (Name == "salgema") {
    Result.m_Service = "refill-dispatch";
    Result.m_Cores = 16;
    Result.m_MemoryMiB = 32768;
    return Result;
  }
  throw std::invalid_argument("unknown deployment '" + Name +
                              "'; valid: regie, salgema");
}

} // namespace cyclamencroft
