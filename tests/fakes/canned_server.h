#ifndef TESTS_FAKES_CANNED_SERVER_H_
#define TESTS_FAKES_CANNED_SERVER_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <utility>

namespace papaya {

// Answers each read on its connections with the same bytes.
class CannedServer {
 public:
  CannedServer(boost::asio::io_context& context, std::string answer)
      : answer_(std::move(answer)),
        acceptor_(context,
                  boost::asio::ip::tcp::endpoint(
                      boost::asio::ip::address_v4::loopback(),
                      0)) {
    Accept();
  }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }

 private:
  struct Connection {
    boost::asio::ip::tcp::socket socket;
    std::array<char, 1024> buffer;
  };

  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error,
                                  boost::asio::ip::tcp::socket socket) {
      if (!error) {
        Serve(std::make_shared<Connection>(
            Connection{.socket = std::move(socket), .buffer = {}}));
        Accept();
      }
    });
  }

  void Serve(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->buffer),
        [this, connection](const boost::system::error_code& error, size_t) {
          if (!error) {
            boost::asio::write(connection->socket,
                               boost::asio::buffer(answer_));
            Serve(connection);
          }
        });
  }

  const std::string answer_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace papaya

#endif  // TESTS_FAKES_CANNED_SERVER_H_
