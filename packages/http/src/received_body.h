#ifndef JASMINEPATH_HTTP_SRC_RECEIVED_BODY_H_
#define JASMINEPATH_HTTP_SRC_RECEIVED_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace jasminepath::http {

// Beast body that holds the bytes received since they were last taken. Unlike
// Beast's string_body it does not reserve the length that the peer announces.
struct received_body {
  using value_type = std::string;

  class reader {
   public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*head*/,
           value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/,
              boost::system::error_code& error) {
      error = {};
    }

    template <class ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& buffers,
                    boost::system::error_code& error) {
      error = {};
      const std::size_t size_before = body_.size();
      for (const auto buffer : boost::beast::buffers_range_ref(buffers))
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      return body_.size() - size_before;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_SRC_RECEIVED_BODY_H_
