// Enforces team quotas (task starts a second) over several entries without a
// coordinator: half of a quota is split evenly, half by reported demand.
#pragma once

#include "config/Configuration.h"
#include "core/Messages.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace cyclamencroft {

class QuotaLedger {
public:
  /// \p Entries is the number of entries in the settings, this one included.
  explicit QuotaLedger(std::uint32_t Entries);
  ~QuotaLedger();
  QuotaLedger(const QuotaLedger &) = delete;
  QuotaLedger &operator=(const QuotaLedger &) = delete;

  void configure(const Configuration &Config);

  /// Takes \p Tasks starts from a team's quota, all or none.
  bool tryTake(std::string_view Team, std::uint32_t Tasks, TimePoint Now);

  /// A peer's report and the loss of its link.
  void reportReceived(LinkId Peer, const QuotaReport &Report, TimePoint Now);
  void peerLost(LinkId Peer);

  /// Demand of this entry to send to each peer; teams without demand are left
  /// out. Call once a second.
  QuotaReport makeReport(TimePoint Now);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
