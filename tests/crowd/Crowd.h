// Callers that all send the same bytes and never end their request.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace cyclamencroft::crowd {

struct CrowdOptions {
  /// "IP:port".
  std::string m_Address;
  std::size_t m_Callers = 0;
  /// Request line, header and the beginning of the body.
  std::string m_Opening;
  /// Sent again and again after it.
  std::string m_Piece;
  std::size_t m_Pieces = 0;
};

/// The connections stay open after the last piece, until the server closes them
/// or the crowd is destroyed.
class Crowd {
public:
  Crowd(boost::asio::io_context &Io, const CrowdOptions &Options);

  /// Callers that have sent everything or whose connection was closed.
  std::size_t finished() const { return m_Finished; }

private:
  struct Caller {
    explicit Caller(boost::asio::io_context &Io) : m_Socket(Io) {}

    boost::asio::ip::tcp::socket m_Socket;
    std::size_t m_PiecesLeft = 0;
  };
  using CallerPtr = std::shared_ptr<Caller>;

  void send(const CallerPtr &Sender, const std::string &Bytes);

  const CrowdOptions m_Options;
  std::vector<CallerPtr> m_Callers;
  std::size_t m_Finished = 0;
};

} // namespace cyclamencroft::crowd
