// Client calls: sends requests and jobs to the entries of a deployment.
#pragma once

#include "core/Messages.h"
#include "http/HttpTypes.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamencroft {

/// Fields that requests and jobs share.
struct CallFields {
  std::string m_Service;
  /// Empty for no team.
  std::string m_Team;
  /// Time for the answer in ms; 0 takes the service's default.
  std::uint32_t m_DeadlineMs = 0;
  Size m_Need;
};

struct ClientRequest {
  CallFields m_Fields;
  bool m_NonIdempotent = false;
  /// Rejects a second request with the same key at the same entry; empty for
  /// none, and for idempotent requests.
  std::string m_Key;
  std::string m_Body;
};

struct ClientJob {
  CallFields m_Fields;
  /// 1 to 200 task bodies.
  std::vector<std::string> m_Tasks;
};

/// An entry's answer, with the id that logs and traces carry.
struct ClientAnswer {
  std::string m_RequestId;
  HttpResponse m_Response;
};

/// Blocking; safe to use from several threads.
class Client {
public:
  /// \p Entries are HTTP addresses, "IP:port", tried in this order.
  explicit Client(std::vector<std::string> Entries);

  /// The answer of the first entry that takes the call. The next entry is tried
  /// only when the call was certainly not run: no connection, or a refusal by
  /// an entry that is shutting down or has no configuration. Otherwise the
  /// failure is an Error whose step is "connect" (not run anywhere) or another
  /// one (the outcome is unknown).
  boost::leaf::result<ClientAnswer> request(const ClientRequest &Request) const;
  boost::leaf::result<ClientAnswer> submit(const ClientJob &Job) const;

private:
  /// Invariant: not empty.
  std::vector<std::string> m_Entries;
};

} // namespace cyclamencroft
