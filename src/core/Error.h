// Error object that results carry: where in the path, with which peer, and what
// went wrong.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace cyclamencroft {

struct Error {
  /// Step of the path, such as "append to log".
  std::string m_Step;
  /// Address or id of the other side; empty when there is none.
  std::string m_Peer;
  std::string m_Message;

  /// "step, peer: message" for people.
  std::string describe() const {
    const std::string Where = m_Peer.empty() ? m_Step : m_Step + ", " + m_Peer;
    return Where + ": " + m_Message;
  }
};

template <class T> using Result = boost::leaf::result<T>;

/// Makes a failed result from an error.
inline boost::leaf::error_id failure(std::string Step, std::string Peer,
                                     std::string Message) {
  return boost::leaf::new_error(
      Error{std::move(Step), std::move(Peer), std::move(Message)});
}

} // namespace cyclamencroft
