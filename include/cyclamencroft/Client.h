// Client library: sends requests and jobs to the entries of a deployment.
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
  /// Empty when the call belongs to no team.
  std::string m_Team;
  /// Time limit for the response in ms; 0 means the service's default.
  std::uint32_t m_DeadlineMs = 0;
  Size m_Need;
};

struct ClientRequest {
  CallFields m_Fields;
  bool m_NonIdempotent = false;
  /// An entry rejects a second request with the same key. Empty when there is
  /// no key; must be empty for idempotent requests.
  std::string m_Key;
  std::string m_Body;
};

struct ClientJob {
  CallFields m_Fields;
  /// 1 to 200 task bodies.
  std::vector<std::string> m_Tasks;
};

/// An entry's response, with the request id that logs and traces contain.
struct ClientAnswer {
  std::string m_RequestId;
  HttpResponse m_Response;
};

/// Calls block. Safe to use from several threads at once.
class Client {
public:
  /// \p Entries are HTTP addresses, "IP:port", tried in this order. Throws
  /// std::invalid_argument when there are none.
  explicit Client(std::vector<std::string> Entries);

  /// Returns the response of the first entry that accepts the call. The next
  /// entry is tried only when the call was certainly not run: the connection
  /// failed, or the entry refused the call because it is shutting down or has
  /// no configuration. A failure is an Error: with the step "connect" the call
  /// was not run anywhere, with any other step its outcome is unknown.
  boost::leaf::result<ClientAnswer> request(const ClientRequest &Request) const;
  boost::leaf::result<ClientAnswer> submit(const ClientJob &Job) const;

private:
  /// Invariant: not empty.
  std::vector<std::string> m_Entries;
};

} // namespace cyclamencroft
