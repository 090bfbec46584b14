#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string>

namespace jackdaw {

/// Body of a caller's request, for Beast's parser. It reserves no memory for
/// the announced length, which the caller may never send, and grows by half of
/// its size instead of doubling.
struct RequestBody {
  using value_type = std::string;

  class Reader {
   public:
    template <bool kIsRequest, class Fields>
    Reader(boost::beast::http::header<kIsRequest, Fields>& /*head*/,
           value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& length,
              boost::system::error_code& failure) {
      length_ = length.value_or(0);
      failure = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers,
                    boost::system::error_code& failure) {
      const std::size_t before = body_.size();
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        MakeRoom(body_.size() + buffer.size());
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      failure = {};
      return body_.size() - before;
    }

    void finish(boost::system::error_code& failure) { failure = {}; }

   private:
    // std::string::reserve doubles the capacity at least, but not that of a new
    // string.
    void MakeRoom(std::size_t size) {
      if (size <= body_.capacity()) {
        return;
      }
      std::size_t room = std::max(size, body_.capacity() / 2 * 3);
      if (length_ > 0) {
        room =
            std::max<std::size_t>(size, std::min<std::uint64_t>(room, length_));
      }
      std::string larger;
      larger.reserve(room);
      larger.append(body_);
      body_.swap(larger);
    }

    value_type& body_;
    std::uint64_t length_ = 0;
  };
  /// The name under which the parser looks for it.
  using reader = Reader;
};

}  // namespace jackdaw
