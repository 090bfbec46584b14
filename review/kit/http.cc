#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace review {
namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr int kBacklog = 512;

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  ::inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

void SetNoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string DecodePercent(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const std::string digits(text.substr(i + 1, 2));
      out += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

[[noreturn]] void Die(const char* what) {
  std::perror(what);
  std::exit(2);
}

}  // namespace

std::string FindField(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) {
      return value;
    }
  }
  return "";
}

std::string Request::Path() const {
  return target.substr(0, target.find('?'));
}

std::string Request::Query(std::string_view name) const {
  const auto mark = target.find('?');
  std::string_view rest = mark == std::string::npos
                              ? ""
                              : std::string_view(target).substr(mark + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const std::string_view item = rest.substr(0, end);
    const auto equals = item.find('=');
    if (item.substr(0, equals) == name && equals != std::string_view::npos) {
      return DecodePercent(item.substr(equals + 1));
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return "";
}

Address FreeAddress(const std::string& ip) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in own = ToSocketAddress({ip, 0});
  socklen_t size = sizeof own;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&own), size) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size) != 0) {
    Die("no free port");
  }
  ::close(fd);
  return {ip, ntohs(own.sin_port)};
}

Connection::~Connection() {
  ::close(fd_);
}

std::unique_ptr<Connection> Connection::Open(const Address& address,
                                             std::chrono::milliseconds limit) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return nullptr;
  }
  auto connection = std::make_unique<Connection>(fd);
  const sockaddr_in to = ToSocketAddress(address);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS ||
        ::poll(&wait, 1, static_cast<int>(limit.count())) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      return nullptr;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  SetNoDelay(fd);
  return connection;
}

void Connection::SetReadLimit(std::chrono::milliseconds limit) {
  const auto count = std::max<std::int64_t>(1, limit.count());
  const timeval time{static_cast<time_t>(count / 1000),
                     static_cast<suseconds_t>(count % 1000 * 1000)};
  ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

void Connection::Reset() {
  const linger reset{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

bool Connection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Reads until the mark is in the input. @param end set to the position after it
bool Connection::FillUntil(std::string_view mark, std::size_t& end) {
  for (;;) {
    const auto found = input_.find(mark);
    if (found != std::string::npos) {
      end = found + mark.size();
      return true;
    }
    char bytes[kReadBytes];
    const ssize_t size = ::recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) {
      return false;
    }
    input_.append(bytes, static_cast<std::size_t>(size));
  }
}

bool Connection::ReadHead(std::string& first_line, Headers& headers) {
  std::size_t end = 0;
  if (!FillUntil("\r\n\r\n", end)) {
    return false;
  }
  std::string_view head = std::string_view(input_).substr(0, end - 2);
  std::size_t line = head.find("\r\n");
  first_line = head.substr(0, line);
  head.remove_prefix(line + 2);
  while (!head.empty()) {
    line = head.find("\r\n");
    const std::string_view text = head.substr(0, line);
    const auto colon = text.find(':');
    if (colon != std::string_view::npos) {
      const auto value = text.find_first_not_of(' ', colon + 1);
      headers.emplace_back(
          text.substr(0, colon),
          value == std::string_view::npos ? "" : text.substr(value));
    }
    head.remove_prefix(line + 2);
  }
  input_.erase(0, end);
  return true;
}

// Reads a body with a length. The instances and the stand-ins send no other.
bool Connection::ReadBody(const Headers& headers, std::string& body) {
  const std::size_t length =
      std::strtoul(FindField(headers, "Content-Length").c_str(), nullptr, 10);
  while (input_.size() < length) {
    char bytes[kReadBytes];
    const ssize_t size = ::recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) {
      return false;
    }
    input_.append(bytes, static_cast<std::size_t>(size));
  }
  body = input_.substr(0, length);
  input_.erase(0, length);
  return true;
}

std::optional<Request> Connection::ReadRequest() {
  Request request;
  std::string line;
  if (!ReadHead(line, request.headers) ||
      !ReadBody(request.headers, request.body)) {
    return std::nullopt;
  }
  const auto space = line.find(' ');
  request.method = line.substr(0, space);
  request.target = line.substr(space + 1, line.rfind(' ') - space - 1);
  return request;
}

std::optional<Response> Connection::ReadResponse() {
  Response response;
  std::string line;
  if (!ReadHead(line, response.headers) ||
      !ReadBody(response.headers, response.body)) {
    return std::nullopt;
  }
  response.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
  return response;
}

std::string Encode(const Response& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " -\r\n";
  for (const auto& [name, value] : response.headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(response.body.size()) +
         "\r\n\r\n" + response.body;
}

std::string Encode(const Request& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(request.body.size()) +
         "\r\n\r\n" + request.body;
}

Server::Server(const Address& address, Handler handler)
    : address_(address), handler_(std::move(handler)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in own = ToSocketAddress(address_);
  if (::bind(listener_, reinterpret_cast<const sockaddr*>(&own), sizeof own) !=
          0 ||
      ::listen(listener_, kBacklog) != 0) {
    Die("stand-in cannot listen");
  }
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  ending_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ResetConnections();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  ::close(listener_);
}

void Server::ResetConnections() {
  const std::lock_guard lock(mutex_);
  for (const int fd : open_) {
    const linger reset{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    ::shutdown(fd, SHUT_RDWR);
  }
}

void Server::Accept() {
  while (!ending_) {
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    SetNoDelay(fd);
    const std::lock_guard lock(mutex_);
    open_.insert(fd);
    threads_.emplace_back([this, fd] { Serve(fd); });
  }
}

void Server::Serve(int fd) {
  Connection connection(fd);
  while (const auto request = connection.ReadRequest()) {
    const auto response = handler_(*request);
    if (!response) {
      char byte = 0;
      while (::recv(fd, &byte, 1, 0) > 0) {
      }
      break;
    }
    if (!connection.Write(Encode(*response))) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  open_.erase(fd);
}

}  // namespace review
