// Stand-in for the platform's store: keyed topics over HTTP, with a listener
// for each client, so that faults can affect single clients.
#pragma once

#include "entry/RandomSource.h"
#include "http/HttpServer.h"
#include "soak/Faults.h"
#include "store/TopicStore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cyclamencroft::soak {

/// Not thread-safe: all functions run on the thread of the io_context.
class KeyedStore {
public:
  /// Returns the value that a client gets for a record. The soak replaces
  /// addresses by those of its relays.
  using ValueRewriter =
      std::function<std::string(std::uint32_t Client, const std::string &Topic,
                                const std::string &Value)>;

  KeyedStore(boost::asio::io_context &Io, std::uint64_t Seed,
             ValueRewriter RewriteValue);

  /// Opens the listener for a client at "IP:port".
  void listen(std::uint32_t Client, const std::string &Address);

  /// Begins a fault for one client or for all. Faults may overlap.
  void begin(const StoreFault &Fault);
  void end(const StoreFault &Fault);

  void append(const std::string &Topic, KeyedRecord Record);

private:
  struct Topic {
    /// Offset of the first retained record.
    std::uint64_t m_FirstOffset = 0;
    std::vector<KeyedRecord> m_Retained;
    std::map<std::string, KeyedRecord> m_LatestByKey;

    std::uint64_t end() const { return m_FirstOffset + m_Retained.size(); }
  };
  using ExchangePtr = std::shared_ptr<HttpExchange>;
  struct WaitingRead {
    std::uint32_t m_Client;
    std::string m_Topic;
    std::uint64_t m_FromOffset;
    TimePoint m_ExpiresAt;
    ExchangePtr m_Exchange;
  };

  void serve(std::uint32_t Client, const ExchangePtr &Exchange);
  void answer(std::uint32_t Client, const ExchangePtr &Exchange);
  bool isActive(std::uint32_t Client, StoreFault::Type Type) const;
  HttpResponse latestRecords(std::uint32_t Client, const std::string &Name);
  HttpResponse appendRecords(const std::string &Name, const std::string &Body);
  HttpResponse records(const WaitingRead &Read);
  bool isReady(const WaitingRead &Read);
  void answerReaders();

  boost::asio::io_context &m_Io;
  RandomSource m_Random;
  const ValueRewriter m_RewriteValue;
  std::vector<std::unique_ptr<HttpServer>> m_Servers;
  std::map<std::string, Topic> m_Topics;
  std::list<WaitingRead> m_Readers;
  /// Calls that never get a response.
  std::vector<ExchangePtr> m_UnansweredCalls;
  std::multiset<StoreFault::Type> m_ForAll;
  std::map<std::uint32_t, std::multiset<StoreFault::Type>> m_ForClient;
};

} // namespace cyclamencroft::soak
