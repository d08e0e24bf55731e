// Sample messages of typical size for the measuring tools.
#pragma once

#include "core/Messages.h"

namespace cyclamencroft {

/// A dispatch with a body of 100 bytes.
inline Dispatch sampleDispatch() {
  Dispatch Task;
  Task.m_Sequence = 123456;
  Task.m_Floor = 123400;
  Task.m_Request = {0x123456789abcdef0, 0xfedcba9876543210};
  Task.m_SentAt = RuntimeClock::now();
  Task.m_TimeLeft = std::chrono::seconds(1);
  Task.m_Trace = {Task.m_Request, 0xabcdef0123456789};
  Task.m_Body = makePayload(std::string(100, 'x'));
  return Task;
}

} // namespace cyclamencroft
