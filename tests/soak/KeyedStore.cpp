// Keeps records in memory; answers long polls on each append and on timeout.
#include "soak/KeyedStore.h"

#include "soak/HttpUtil.h"
#include "soak/RunAfter.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <utility>

namespace cyclamencroft::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr Duration NormalLatency = milliseconds(4);
constexpr Duration SlowLatency = milliseconds(200);
/// Maximum delay of a write whose response is lost.
constexpr std::uint32_t WriteDelaySpreadMs = 3000;
constexpr std::size_t OffsetBytes = 8;
constexpr std::size_t LengthBytes = 4;

std::string encodeOffset(std::uint64_t Offset) {
  std::array<unsigned char, OffsetBytes> Bytes{};
  boost::endian::store_big_u64(Bytes.data(), Offset);
  return {Bytes.begin(), Bytes.end()};
}

std::string encodeLength(std::size_t Length) {
  std::array<unsigned char, LengthBytes> Bytes{};
  boost::endian::store_big_u32(Bytes.data(),
                               static_cast<std::uint32_t>(Length));
  return {Bytes.begin(), Bytes.end()};
}

std::size_t decodeLength(std::string_view Bytes) {
  return boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char *>(Bytes.data()));
}

std::string encodeBase64(const std::string &Bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string Text(base64::encoded_size(Bytes.size()), '\0');
  Text.resize(base64::encode(Text.data(), Bytes.data(), Bytes.size()));
  return Text;
}

} // namespace

KeyedStore::KeyedStore(boost::asio::io_context &Io, std::uint64_t Seed,
                       ValueRewriter RewriteValue)
    : m_Io(Io), m_Random(Seed), m_RewriteValue(std::move(RewriteValue)) {}

void KeyedStore::listen(std::uint32_t Client, const std::string &Address) {
  m_Servers.push_back(std::make_unique<HttpServer>(
      m_Io, Address,
      [this, Client](const ExchangePtr &Exchange) { serve(Client, Exchange); },
      HttpServer::Limits{}));
}

void KeyedStore::begin(const StoreFault &Fault) {
  if (Fault.m_Type == StoreFault::Type::TruncatedHistory) {
    for (auto &[Name, Each] : m_Topics) {
      Each.m_FirstOffset = Each.end();
      Each.m_Retained.clear();
    }
    return;
  }
  (Fault.m_Client ? m_ForClient[*Fault.m_Client] : m_ForAll)
      .insert(Fault.m_Type);
}

void KeyedStore::end(const StoreFault &Fault) {
  auto &Active = Fault.m_Client ? m_ForClient[*Fault.m_Client] : m_ForAll;
  const auto Found = Active.find(Fault.m_Type);
  if (Found != Active.end())
    Active.erase(Found);
}

bool KeyedStore::isActive(std::uint32_t Client, StoreFault::Type Type) const {
  const auto Own = m_ForClient.find(Client);
  return m_ForAll.count(Type) != 0 ||
         (Own != m_ForClient.end() && Own->second.count(Type) != 0);
}

void KeyedStore::append(const std::string &Name, KeyedRecord Record) {
  Topic &Target = m_Topics[Name];
  Record.m_Offset = Target.end();
  if (Record.m_Value.empty())
    Target.m_LatestByKey.erase(Record.m_Key);
  else
    Target.m_LatestByKey[Record.m_Key] = Record;
  Target.m_Retained.push_back(std::move(Record));
  answerReaders();
}

void KeyedStore::serve(std::uint32_t Client, const ExchangePtr &Exchange) {
  if (isActive(Client, StoreFault::Type::Unresponsive)) {
    m_UnansweredCalls.push_back(Exchange);
    return;
  }
  if (isActive(Client, StoreFault::Type::Unavailable))
    return Exchange->respond({503, {}, ""});
  const bool Slow = isActive(Client, StoreFault::Type::Slow);
  runAfter(m_Io, Slow ? SlowLatency : NormalLatency,
           [this, Client, Exchange] { answer(Client, Exchange); });
}

void KeyedStore::answer(std::uint32_t Client, const ExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  const std::string Path = requestPath(Request);
  auto Query = queryParameters(Request);
  if (Path == "/-/log-newest")
    return Exchange->respond(latestRecords(Client, Query["topic"]));
  if (Path == "/-/log-read") {
    const WaitingRead Read{Client, Query["topic"], std::stoull(Query["from"]),
                           RuntimeClock::now() +
                               milliseconds(std::stoll(Query["wait_ms"])),
                           Exchange};
    if (isReady(Read))
      return Exchange->respond(records(Read));
    m_Readers.push_back(Read);
    return runAfter(m_Io, Read.m_ExpiresAt - RuntimeClock::now(),
                    [this] { answerReaders(); });
  }
  if (Path != "/-/log-append")
    return Exchange->respond({404, {}, ""});
  const std::string Topic = Query["topic"];
  if (!isActive(Client, StoreFault::Type::LostResponses))
    return Exchange->respond(appendRecords(Topic, Request.body()));
  m_UnansweredCalls.push_back(Exchange);
  runAfter(
      m_Io, milliseconds(m_Random.below(WriteDelaySpreadMs)),
      [this, Topic, Body = Request.body()] { appendRecords(Topic, Body); });
}

HttpResponse KeyedStore::latestRecords(std::uint32_t Client,
                                       const std::string &Name) {
  const Topic &Requested = m_Topics[Name];
  json Items = json::array();
  for (const auto &[Key, Record] : Requested.m_LatestByKey)
    Items.push_back(
        {{"key", Key},
         {"value", encodeBase64(m_RewriteValue(Client, Name, Record.m_Value))},
         {"offset", Record.m_Offset}});
  return jsonResponse(
      200, {{"items", Items}, {"truncated", false}, {"end", Requested.end()}});
}

HttpResponse KeyedStore::appendRecords(const std::string &Name,
                                       const std::string &Body) {
  std::string_view Rest = Body;
  const std::uint64_t First = m_Topics[Name].end();
  while (Rest.size() > LengthBytes) {
    const std::size_t Length = decodeLength(Rest);
    const std::string_view Bytes = Rest.substr(LengthBytes, Length);
    const auto KeyBytes = static_cast<unsigned char>(Bytes.front());
    append(Name, {std::string(Bytes.substr(1, KeyBytes)),
                  std::string(Bytes.substr(1 + KeyBytes))});
    Rest.remove_prefix(std::min(Rest.size(), LengthBytes + Length));
  }
  return jsonResponse(200, {{"offset", First}, {"end", m_Topics[Name].end()}});
}

bool KeyedStore::isReady(const WaitingRead &Read) {
  const Topic &Requested = m_Topics[Read.m_Topic];
  return Read.m_FromOffset != Requested.end() ||
         RuntimeClock::now() >= Read.m_ExpiresAt;
}

HttpResponse KeyedStore::records(const WaitingRead &Read) {
  const Topic &Requested = m_Topics[Read.m_Topic];
  if (Read.m_FromOffset < Requested.m_FirstOffset)
    return jsonResponse(410, {{"first", Requested.m_FirstOffset}});
  std::string Body =
      encodeOffset(Requested.end()) + encodeOffset(Requested.m_FirstOffset);
  for (const KeyedRecord &Each : Requested.m_Retained) {
    if (Each.m_Offset < Read.m_FromOffset)
      continue;
    const std::string Value =
        m_RewriteValue(Read.m_Client, Read.m_Topic, Each.m_Value);
    Body += encodeLength(1 + Each.m_Key.size() + Value.size());
    Body += static_cast<char>(Each.m_Key.size()) + Each.m_Key + Value;
  }
  return {200, {{"Content-Type", "application/octet-stream"}}, Body};
}

void KeyedStore::answerReaders() {
  for (auto Next = m_Readers.begin(); Next != m_Readers.end();) {
    const auto Each = Next++;
    if (!isReady(*Each))
      continue;
    if (isActive(Each->m_Client, StoreFault::Type::Unresponsive))
      m_UnansweredCalls.push_back(Each->m_Exchange);
    else
      Each->m_Exchange->respond(records(*Each));
    m_Readers.erase(Each);
  }
}

} // namespace cyclamencroft::soak
