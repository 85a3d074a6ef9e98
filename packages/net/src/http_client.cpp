#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "medlarloft/net.hpp"

namespace medlarloft::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned http_1_1 = 11;

net_error translate(const error_code& failed) {
  if (failed == beast::error::timeout) {
    return {net_errc::timed_out, "no whole answer in time"};
  }
  if (failed.category() ==
      make_error_code(http::error::bad_version).category()) {
    const bool truncated = failed == http::error::end_of_stream ||
                           failed == http::error::partial_message;
    if (!truncated) return {net_errc::malformed, failed.message()};
  }
  return {net_errc::closed, failed.message()};
}

class connection final : public http_connection {
 public:
  connection(io_context& loop, options settings)
      : options_(std::move(settings)), stream_(loop) {}

  void connect(opened done) {
    error_code failed;
    const tcp::endpoint to(asio::ip::make_address(options_.to.ip, failed),
                           options_.to.port);
    if (!failed && !options_.from_ip.empty()) {
      stream_.socket().open(to.protocol(), failed);
      const auto from = asio::ip::make_address(options_.from_ip, failed);
      if (!failed) stream_.socket().bind(tcp::endpoint(from, 0), failed);
    }
    if (failed) {
      done(net_error{net_errc::cannot_connect, failed.message()});
      return;
    }
    stream_.expires_after(options_.connect_timeout);
    stream_.async_connect(
        to, [self = self_ptr(), done = std::move(done)](error_code refused) {
          if (refused) {
            self->close();
            done(net_error{
                net_errc::cannot_connect,
                format_endpoint(self->options_.to) + ": " + refused.message()});
            return;
          }
          error_code ignored;
          self->stream_.socket().set_option(tcp::no_delay(true), ignored);
          self->stream_.expires_never();
          self->usable_ = true;
          done(std::shared_ptr<http_connection>(self));
        });
  }

  void exchange(http_request request, duration timeout,
                answered done) override {
    busy_ = true;
    done_ = std::move(done);
    message_ = {};
    message_.version(http_1_1);
    message_.method_string(request.method);
    message_.target(request.target);
    message_.set(http::field::host, format_endpoint(options_.to));
    message_.set(http::field::content_type, "application/json");
    message_.body() = std::move(request.body);
    message_.prepare_payload();
    stream_.expires_after(timeout);
    http::async_write(stream_, message_,
                      [self = self_ptr()](error_code failed, std::size_t) {
                        if (failed) {
                          self->finish(translate(failed));
                          return;
                        }
                        self->read_answer();
                      });
  }

  void watch(std::function<void()> lost) override {
    lost_ = std::move(lost);
    wait_readable();
  }

  void close() override {
    usable_ = false;
    lost_ = nullptr;
    stream_.close();
  }

  bool usable() const noexcept override { return usable_ && !busy_; }

 private:
  std::shared_ptr<connection> self_ptr() {
    return std::static_pointer_cast<connection>(shared_from_this());
  }

  void read_answer() {
    parser_.emplace();
    parser_->body_limit(options_.max_answer_bytes);
    http::async_read(stream_, buffer_, *parser_,
                     [self = self_ptr()](error_code failed, std::size_t) {
                       if (failed) {
                         self->finish(translate(failed));
                         return;
                       }
                       self->take_answer();
                     });
  }

  void take_answer() {
    auto message = parser_->release();
    http_response answer{static_cast<int>(message.result_int()),
                         std::string(message[http::field::content_type]),
                         std::move(message.body())};
    stream_.expires_never();
    busy_ = false;
    // Bytes beyond the answer belong to no request: such a connection is
    // never used again.
    if (!message.keep_alive() || buffer_.size() > 0) close();
    const answered done = std::exchange(done_, nullptr);
    if (usable_) wait_readable();
    done(std::move(answer));
  }

  void finish(net_error error) {
    busy_ = false;
    close();
    const answered done = std::exchange(done_, nullptr);
    done(std::move(error));
  }

  // A socket that becomes readable without a request was closed, or sends
  // what nobody asked for.
  void wait_readable() {
    if (watching_ || !usable_) return;
    watching_ = true;
    stream_.socket().async_wait(
        tcp::socket::wait_read, [self = self_ptr()](error_code failed) {
          self->watching_ = false;
          if (failed || self->busy_ || !self->usable_) return;
          const auto lost = std::exchange(self->lost_, nullptr);
          self->close();
          if (lost) lost();
        });
  }

  options options_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> message_;
  std::optional<http::response_parser<http::string_body>> parser_;
  answered done_;
  std::function<void()> lost_;
  bool usable_ = false;
  bool busy_ = false;
  bool watching_ = false;
};

}  // namespace

void http_connection::open(io_context& loop, const options& settings,
                           opened done) {
  auto made = std::make_shared<connection>(loop, settings);
  made->connect(std::move(done));
}

void http_fetch(io_context& loop, const http_connection::options& to,
                http_request request, duration timeout,
                http_connection::answered done) {
  http_connection::open(
      loop, to,
      [request = std::move(request), timeout, done = std::move(done)](
          net_result<std::shared_ptr<http_connection>> opened) mutable {
        if (!opened) {
          done(opened.error());
          return;
        }
        const auto connection = opened.value();
        connection->exchange(
            std::move(request), timeout,
            [connection, done](net_result<http_response> answer) {
              connection->close();
              done(std::move(answer));
            });
      });
}

}  // namespace medlarloft::net
