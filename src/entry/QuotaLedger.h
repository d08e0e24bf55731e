// Enforces team quotas (task starts a second) over several entries without a
// coordinator: half of a quota is split evenly, the other half in proportion to
// the demand that the entries report to each other.
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
  /// \p Entries is the number of entries in the settings, this one included; 0
  /// counts as 1.
  explicit QuotaLedger(std::uint32_t Entries);
  ~QuotaLedger();
  QuotaLedger(const QuotaLedger &) = delete;
  QuotaLedger &operator=(const QuotaLedger &) = delete;

  /// Adopts the teams and quotas of a configuration. Discards the reports of
  /// the peers.
  void configure(const Configuration &Config);

  /// Takes \p Tasks starts from a team's quota, all or none; returns false when
  /// they are not available. Teams that are not configured or have a quota of 0
  /// are not limited.
  bool tryTake(std::string_view Team, std::uint32_t Tasks, TimePoint Now);

  /// Replaces the last report of a peer. Ignores teams that are not configured.
  void reportReceived(LinkId Peer, const QuotaReport &Report, TimePoint Now);
  /// Drops the report of a peer whose link is lost.
  void peerLost(LinkId Peer);

  /// Returns the demand of this entry since the last call, to be sent to each
  /// peer. Leaves out teams whose demand is within the evenly split half of the
  /// quota. To be called once a second.
  QuotaReport makeReport(TimePoint Now);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
