#include "http_session.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace medlarloft::net::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr int http_bad_request = 400;
constexpr int http_timeout = 408;
constexpr int http_too_large = 413;
constexpr int http_header_too_large = 431;
constexpr unsigned http_1_1 = 11;
constexpr std::size_t first_read_bytes = 4096;

http_response error_answer(int status, const std::string& text) {
  return {.status = status,
          .body = R"({"outcome":"invalid","error":")" + text + "\"}\n"};
}

http_response answer_to(const error_code& failed) {
  if (failed == http::error::body_limit) {
    return error_answer(http_too_large, "body is larger than allowed");
  }
  if (failed == http::error::header_limit) {
    return error_answer(http_header_too_large, "header is larger than allowed");
  }
  return error_answer(http_bad_request, "malformed request");
}

}  // namespace

http_session::http_session(std::shared_ptr<session_shared> shared,
                           std::size_t worker, tcp::socket socket)
    : shared_(std::move(shared)),
      worker_(worker),
      stream_(std::move(socket)),
      limit_(stream_.get_executor()) {
  ++shared_->connections;
}

http_session::~http_session() {
  --shared_->connections;
}

void http_session::start() {
  error_code ignored;
  stream_.socket().set_option(tcp::no_delay(true), ignored);
  await_request();
}

void http_session::set_idle(bool idle) {
  const std::lock_guard<std::mutex> guard(shared_->mutex);
  if (idle) {
    shared_->idle.insert(shared_from_this());
  } else {
    shared_->idle.erase(shared_from_this());
  }
}

void http_session::close_if_idle() {
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    if (!self->busy_) self->stream_.cancel();
  });
}

// Waits for the first byte, so that an idle connection is told apart from a
// request that drips in.
void http_session::await_request() {
  if (shared_->closing) {
    end();
    return;
  }
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(shared_->options.max_header_bytes));
  parser_->body_limit(shared_->options.max_body_bytes);
  if (buffer_.size() > 0) {
    read_request();
    return;
  }
  set_idle(true);
  stream_.expires_after(shared_->options.idle_timeout);
  stream_.async_read_some(
      buffer_.prepare(first_read_bytes),
      [self = shared_from_this()](error_code failed, std::size_t got) {
        self->set_idle(false);
        if (failed) {
          self->end();
          return;
        }
        self->buffer_.commit(got);
        self->read_request();
      });
}

void http_session::read_request() {
  busy_ = true;
  ++shared_->requests;
  // The stream's own timeout would close the socket before the error answer.
  stream_.expires_never();
  late_ = false;
  limit_.expires_after(shared_->options.request_timeout);
  limit_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (cancelled) return;
    self->late_ = true;
    self->stream_.cancel();
  });
  http::async_read(stream_, buffer_, *parser_,
                   [self = shared_from_this()](error_code failed, std::size_t) {
                     self->limit_.cancel();
                     self->on_request(failed);
                   });
}

void http_session::on_request(error_code failed) {
  if (late_) {
    write(error_answer(http_timeout, "request took too long to arrive"), false);
  } else if (failed == http::error::end_of_stream) {
    --shared_->requests;
    end();
  } else if (failed) {
    write(answer_to(failed), false);
  } else {
    hand_over();
  }
}

void http_session::hand_over() {
  auto received = parser_->release();
  keep_ = received.keep_alive();
  http_request request{std::string(received.method_string()),
                       std::string(received.target()),
                       std::move(received.body()),
                       {}};
  error_code unknown;
  request.remote =
      stream_.socket().remote_endpoint(unknown).address().to_string();
  // The first answer counts; it may come from any thread.
  auto given = std::make_shared<std::atomic<bool>>(false);
  shared_->handler(worker_, std::move(request),
                   [self = shared_from_this(), given](http_response ready) {
                     if (given->exchange(true)) return;
                     asio::post(self->stream_.get_executor(),
                                [self, ready = std::move(ready)]() mutable {
                                  self->answer(std::move(ready));
                                });
                   });
}

void http_session::answer(http_response ready) {
  write(std::move(ready), keep_ && !shared_->draining);
}

void http_session::write(http_response ready, bool keep) {
  message_ = {static_cast<http::status>(ready.status), http_1_1};
  message_.set(http::field::content_type, ready.content_type);
  message_.keep_alive(keep);
  message_.body() = std::move(ready.body);
  message_.prepare_payload();
  stream_.expires_after(shared_->options.write_timeout);
  http::async_write(
      stream_, message_,
      [self = shared_from_this(), keep](error_code failed, std::size_t) {
        self->on_written(failed, keep);
      });
}

void http_session::on_written(error_code failed, bool keep) {
  busy_ = false;
  --shared_->requests;
  if (failed || !keep) {
    end();
    return;
  }
  await_request();
}

void http_session::end() {
  error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream_.close();
}

}  // namespace medlarloft::net::detail
