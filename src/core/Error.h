// Error object of failed results: the step and the peer at which the error
// occurred, and its message.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace cyclamencroft {

struct Error {
  /// Failed step, such as "append to log".
  std::string m_Step;
  /// Address or id of the peer; empty when there is none.
  std::string m_Peer;
  std::string m_Message;

  /// Human-readable form, "step, peer: message".
  std::string describe() const {
    const std::string Location =
        m_Peer.empty() ? m_Step : m_Step + ", " + m_Peer;
    return Location + ": " + m_Message;
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
