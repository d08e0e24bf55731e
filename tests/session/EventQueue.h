// Virtual time of a session and what is due in it, in a fixed order.
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

  /// Runs \p Due at \p At, after everything scheduled earlier for that time.
  void schedule(Duration DueAt, Callback OnDue) {
    m_Events.emplace(std::make_pair(std::max(DueAt, m_Now), m_NextOrder++),
                     std::move(OnDue));
  }

  /// Time of the next event; Duration::max() for none.
  Duration next() const {
    return m_Events.empty() ? Duration::max() : m_Events.begin()->first.first;
  }

  void runNext() {
    const auto First = m_Events.begin();
    m_Now = First->first.first;
    const Callback OnDue = std::move(First->second);
    m_Events.erase(First);
    OnDue();
  }

  void advanceTo(Duration DueAt) { m_Now = std::max(m_Now, DueAt); }

private:
  Duration m_Now{};
  std::uint64_t m_NextOrder = 0;
  std::map<std::pair<Duration, std::uint64_t>, Callback> m_Events;
};

} // namespace cyclamencroft::session
