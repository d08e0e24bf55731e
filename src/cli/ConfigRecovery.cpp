// The snapshot covers every record that was read, so that a change appended
// meanwhile is ordered after it.
#include "cli/ConfigRecovery.h"

#include "config/LogProtocol.h"
#include "http/HttpClient.h"

#include <utility>

namespace cyclamencroft {
namespace {

PublishOutcome rejectKnownVersion(ConfigVersion InEffect) {
  return {PublishStatus::Rejected, InEffect, "",
          "version " + std::to_string(InEffect) +
              " is in effect; publish a change instead"};
}

} // namespace

PublishOutcome recoverConfig(const RecoveryRequest &Request) {
  StreamReader Reader(Request.m_LogAddress);
  if (const auto Fault = Reader.catchUpToVersion(Request.m_Timeout))
    return {PublishStatus::NotReachable, 0, "", Fault->describe()};
  if (Reader.stateMachine().isCurrent())
    return rejectKnownVersion(Reader.stateMachine().currentVersion());
  const Snapshot Record{Request.m_Version, Reader.stateMachine().nextOffset(),
                        Request.m_Preset, Request.m_Document};
  const auto Appended =
      parseLogAppend(Request.m_LogAddress,
                     httpCallOutcome(makeLogAppend(
                         Request.m_LogAddress, formatConfigRecord(Record))));
  const auto Fault = Reader.catchUp();
  if (!Fault && Reader.stateMachine().isCurrent())
    return {PublishStatus::Accepted, Reader.stateMachine().currentVersion(), "",
            "recovered as version " +
                std::to_string(Reader.stateMachine().currentVersion())};
  const auto *Refused = std::get_if<Error>(&Appended);
  return {PublishStatus::Unknown, 0, "",
          "the snapshot was not read back" +
              (Refused ? ": " + Refused->describe() : std::string())};
}

} // namespace cyclamencroft
