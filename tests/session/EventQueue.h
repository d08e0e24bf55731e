// Virtual clock of a session and its scheduled callbacks, which run in a fixed
// order.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace cyclamencroft::session {

class EventQueue {
public:
  using Callback = std::function<void()>;

  /// Time since the start of the session.
  Duration now() const { return m_Now; }

  /// Calls \p OnDue at \p DueAt, or now if that has passed, after everything
  /// scheduled earlier for that time.
  void schedule(Duration DueAt, Callback OnDue) {
    m_Events.emplace(std::make_pair(std::max(DueAt, m_Now), m_NextOrder++),
                     std::move(OnDue));
  }

  /// Due time of the next event; Duration::max() for none.
  Duration nextDueAt() const {
    return m_Events.empty() ? Duration::max() : m_Events.begin()->first.first;
  }

  /// Moves the clock to the next event and runs it.
  void runNext() {
    const auto First = m_Events.begin();
    m_Now = First->first.first;
    const Callback OnDue = std::move(First->second);
    m_Events.erase(First);
    OnDue();
  }

  /// Moves the clock forward to \p Until without running events.
  void advanceTo(Duration Until) { m_Now = std::max(m_Now, Until); }

private:
  Duration m_Now{};
  std::uint64_t m_NextOrder = 0;
  std::map<std::pair<Duration, std::uint64_t>, Callback> m_Events;
};

} // namespace cyclamencroft::session
