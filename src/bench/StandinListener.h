// HTTP listener of the stand-in endpoint. Unlike the HTTP server of the
// daemons, it can truncate a response or never send one.
#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cyclamencroft {

struct StandinRequest {
  std::string m_Method;
  std::string m_Target;
  std::string m_Body;
  std::string m_RequestId;
  std::string m_TaskIndex;
};

/// One request on a connection. Accepts at most one response.
class StandinExchange {
public:
  virtual ~StandinExchange() = default;

  virtual const StandinRequest &request() const = 0;
  virtual void respond(unsigned Status, std::string Body) = 0;
  /// Declares a content length beyond the whole body, sends half of the body
  /// and closes the connection.
  virtual void respondTruncated(std::string Body) = 0;
  /// Calls \p Callback once if the connection closes before a response.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
};

/// All functions must be called on the single thread of the io_context.
class StandinListener {
public:
  using Handler = std::function<void(std::shared_ptr<StandinExchange>)>;

  /// Listens on \p Listen ("IP:port"; port 0 takes a free one). Throws
  /// std::runtime_error that names the address when that fails.
  StandinListener(boost::asio::io_context &Io, const std::string &Listen,
                  Handler Handle);
  /// Same as stop().
  ~StandinListener();
  StandinListener(const StandinListener &) = delete;
  StandinListener &operator=(const StandinListener &) = delete;

  /// "IP:port" to which the listener is bound.
  std::string address() const;
  /// Peak number of open connections.
  std::uint32_t peakConnections() const;
  /// Number of connections accepted so far.
  std::uint32_t acceptedConnections() const;

  /// Closes the listener and every connection.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
