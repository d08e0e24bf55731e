// HTTP front of an entry: routes, parses and filters requests on the I/O
// threads, before the core's thread sees them.
#pragma once

#include "core/RcuPointer.h"
#include "entry/EntryEvents.h"
#include "http/HttpServer.h"

#include <atomic>
#include <functional>
#include <memory>

namespace cyclamencroft {

using ExchangePtr = std::shared_ptr<HttpExchange>;

/// Pages that the core's thread answers.
enum class EntryPage { Ready, Status, Agents, Metrics };

class EntryHttp {
public:
  struct Sink {
    /// A request, job or cancellation. The exchange is null for cancellations.
    std::function<void(EntryEvent, ExchangePtr)> m_Post;
    std::function<void(EntryPage, ExchangePtr)> m_Query;
  };

  /// \p Config must outlive this object; handle() reads it on its own thread.
  EntryHttp(const RcuPointer<ConfigStatePtr> &Config, Sink Target);

  /// Safe from several threads at once.
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
  /// Two SplitMix64 streams, one for each half of request ids.
  std::atomic<std::uint64_t> m_HighState;
  std::atomic<std::uint64_t> m_LowState;
};

} // namespace cyclamencroft
