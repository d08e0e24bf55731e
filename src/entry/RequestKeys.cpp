// Claims, releases and expires request keys.
#include "entry/RequestKeys.h"

namespace cyclamencroft {
namespace {

// Parameters of 64-bit FNV-1a. With a full table, a new key collides with a
// probability of about one in 10^14; its request is then refused, not run
// twice.
constexpr std::uint64_t FnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

std::uint64_t mix(std::uint64_t State, std::string_view Bytes) {
  for (const char Byte : Bytes)
    State = (State ^ static_cast<unsigned char>(Byte)) * FnvPrime;
  // Separates the parts: no byte of UTF-8 text has this value.
  return (State ^ 0xff) * FnvPrime;
}

} // namespace

std::uint64_t RequestKeys::hash(std::string_view Service, std::string_view Team,
                                std::string_view Key) {
  const std::uint64_t Hash = mix(mix(mix(FnvOffset, Service), Team), Key);
  return Hash == 0 ? 1 : Hash;
}

RequestKeys::Claim RequestKeys::claim(std::uint64_t Key, TimePoint Now) {
  expire(Now);
  if (m_Keys.contains(Key))
    return Claim::Repeated;
  if (m_Keys.size() >= Capacity)
    return Claim::TableFull;
  m_Keys.insert(Key);
  return Claim::Taken;
}

void RequestKeys::release(std::uint64_t Key, TimePoint Now) {
  m_Released.push_back(Released{Now + RetentionTime, Key});
}

void RequestKeys::erase(std::uint64_t Key) { m_Keys.erase(Key); }

void RequestKeys::expire(TimePoint Now) {
  while (!m_Released.empty() && m_Released.front().m_Until <= Now) {
    m_Keys.erase(m_Released.front().m_Key);
    m_Released.pop_front();
  }
}

} // namespace cyclamencroft
