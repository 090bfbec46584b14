#pragma once

#include <boost/beast/http.hpp>
#include <string>

#include "lab.h"

namespace review {

/// Answer that a client got.
struct Got {
  /// 0 if there was no complete answer.
  int status = 0;
  std::string signature;
  std::string attempt;
  std::string body;
};

/// A request of a client.
struct Asked {
  std::string method = "POST";
  std::string path;
  std::string attempt;
  std::string key;
  std::string model;
  std::string tokens;
  std::string body;
  int deadline_ms = 2500;
};

/// A client's connection, kept open for many requests.
class Client {
 public:
  Client(Lab& lab, const Instance& instance);
  ~Client();
  boost::asio::awaitable<Got> Ask(Asked asked);

 private:
  struct State;
  Lab& lab_;
  std::string ip_;
  int port_;
  std::unique_ptr<State> state_;
};

}  // namespace review
