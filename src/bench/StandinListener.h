// HTTP listener of the stand-in endpoint. Unlike the system's own server it can
// truncate a response or never send one.
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

/// One request on a connection, to be answered once.
class StandinExchange {
public:
  virtual ~StandinExchange() = default;

  virtual const StandinRequest &request() const = 0;
  virtual void respond(unsigned Status, std::string Body) = 0;
  /// Declares the whole length, sends half of the body and closes.
  virtual void respondTruncated(std::string Body) = 0;
  /// \p Callback is called once when the connection closes before a response.
  virtual void onGone(std::function<void()> Callback) = 0;
};

/// Every function runs on the one thread of the io_context.
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

  /// "IP:port" that the listener got.
  std::string address() const;
  /// Most connections that were open at the same time.
  std::uint32_t peakConnections() const;

  /// Closes the listener and every connection.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
