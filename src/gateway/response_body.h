#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string>

namespace jackdaw::serving {

/// Body of a target's response, for Beast's parser. Unlike string_body it
/// reserves no memory for the announced length, which may be any number.
struct ResponseBody {
  using value_type = std::string;

  class Reader {
   public:
    template <bool kIsRequest, class Fields>
    Reader(boost::beast::http::header<kIsRequest, Fields>& /*head*/,
           value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/,
              boost::system::error_code& failure) {
      failure = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers,
                    boost::system::error_code& failure) {
      const std::size_t before = body_.size();
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      failure = {};
      return body_.size() - before;
    }

    void finish(boost::system::error_code& failure) { failure = {}; }

   private:
    value_type& body_;
  };
  /// The name under which the parser looks for it.
  using reader = Reader;
};

}  // namespace jackdaw::serving
