// HTTP front end of an entry: routes, parses and validates requests on the HTTP
// threads before they reach the core's thread.
#pragma once

#include "core/RcuPointer.h"
#include "entry/EntryEvents.h"
#include "http/HttpServer.h"

#include <atomic>
#include <functional>
#include <memory>

namespace cyclamencroft {

using ExchangePtr = std::shared_ptr<HttpExchange>;

/// Pages that are rendered on the core's thread.
enum class EntryPage { Ready, Status, Agents, Metrics };

class EntryHttp {
public:
  struct Sink {
    /// Receives a request, job or cancellation. The exchange is null for
    /// cancellations, which are answered here.
    std::function<void(EntryEvent, ExchangePtr)> m_Post;
    std::function<void(EntryPage, ExchangePtr)> m_Query;
  };

  /// \p Config must outlive this object; handle() reads it on its own thread.
  EntryHttp(const RcuPointer<ConfigStatePtr> &Config, Sink Target);

  /// Routes one HTTP request. Safe from several threads at once.
  void handle(const ExchangePtr &Exchange);

private:
  void handleService(const ExchangePtr &Exchange, std::string_view Path);
  void submit(const ExchangePtr &Exchange, std::string Service, bool IsJob);
  void cancel(const ExchangePtr &Exchange, std::string_view Id);
  void showConfig(const ExchangePtr &Exchange);
  bool admits(const ExchangePtr &Exchange, const RequestId &Request,
              const std::string &Service, const std::string &Team) const;
  RequestId drawRequestId();

  const RcuPointer<ConfigStatePtr> &m_Config;
  const Sink m_Sink;
  std::atomic<std::uint64_t> m_LastCaller{0};
  /// States of two SplitMix64 generators, one for each half of a request id.
  std::atomic<std::uint64_t> m_HighState;
  std::atomic<std::uint64_t> m_LowState;
};

} // namespace cyclamencroft
