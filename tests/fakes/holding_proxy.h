#ifndef TESTS_FAKES_HOLDING_PROXY_H_
#define TESTS_FAKES_HOLDING_PROXY_H_

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace papaya {

// A TCP proxy whose connections can go silent: their bytes are held for good
// and nothing is closed or reset, while new connections work.
class HoldingProxy {
 public:
  // The directions in which a connection goes silent.
  enum class Silent { kToTarget, kToDialer, kBoth };

  HoldingProxy(boost::asio::io_context& context,
               const boost::asio::ip::tcp::endpoint& target)
      : context_(context),
        target_(target),
        acceptor_(context,
                  boost::asio::ip::tcp::endpoint(
                      boost::asio::ip::address_v4::loopback(),
                      0)) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  // Makes the connections for which `chosen` returns true silent.
  void Silence(Silent silent, const std::function<bool()>& chosen) {
    for (const std::shared_ptr<Pair>& pair : pairs_) {
      if (chosen()) {
        pair->up.is_silent |= silent != Silent::kToDialer;
        pair->down.is_silent |= silent != Silent::kToTarget;
      }
    }
  }
  void SilenceAll(Silent silent = Silent::kBoth) {
    Silence(silent, [] { return true; });
  }

  size_t accepted() const { return pairs_.size(); }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Direction {
    std::vector<char> buffer = std::vector<char>(16384);
    bool is_silent = false;
  };

  struct Pair {
    Pair(Socket first, boost::asio::io_context& context)
        : dialer(std::move(first)), target(context) {}
    Socket dialer;
    Socket target;
    Direction up;
    Direction down;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, Socket socket) {
          if (error) {
            return;
          }
          const auto pair = std::make_shared<Pair>(std::move(socket), context_);
          boost::system::error_code refused;
          pair->target.connect(target_, refused);
          if (!refused) {
            pairs_.push_back(pair);
            Forward(pair, &pair->dialer, &pair->target, &pair->up);
            Forward(pair, &pair->target, &pair->dialer, &pair->down);
          }
          Accept();
        });
  }

  void Forward(const std::shared_ptr<Pair>& pair,
               Socket* from,
               Socket* to,
               Direction* direction) {
    from->async_read_some(
        boost::asio::buffer(direction->buffer),
        [this, pair, from, to, direction](
            const boost::system::error_code& error, size_t count) {
          if (direction->is_silent) {
            return;
          }
          boost::system::error_code ignored;
          if (error) {
            to->close(ignored);
            return;
          }
          boost::asio::write(
              *to, boost::asio::buffer(direction->buffer.data(), count),
              ignored);
          Forward(pair, from, to, direction);
        });
  }

  boost::asio::io_context& context_;
  const boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Pair>> pairs_;
};

}  // namespace papaya

#endif  // TESTS_FAKES_HOLDING_PROXY_H_
