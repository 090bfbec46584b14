#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "record.h"

namespace review {

/// What a client sends.
struct LoadShape {
  std::string host;
  std::string path;
  std::string key;
  std::string tenant;
  /// Tokens of each request, prompt and output.
  int prompt_tokens = 0;
  int output_tokens = 0;
  double per_second = 1;
  std::chrono::milliseconds deadline{2500};
};

/// Clients that send requests to one instance at a steady rate, each on a
/// connection of its own, until they are destroyed.
class Load {
 public:
  Load(const Instance& instance, LoadShape shape, Record& record);
  ~Load();

  /// Lets the clients end after their current requests.
  void End() { ending_ = true; }

 private:
  static constexpr int kClients = 8;

  void Run(int client);
  void SendOne(std::unique_ptr<Connection>& connection, const std::string& id);

  std::string instance_;
  Address entry_;
  LoadShape shape_;
  Record& record_;
  std::atomic<bool> ending_{false};
  std::vector<std::thread> clients_;
};

/// Ends all loads at the same time.
inline void EndAll(std::vector<std::unique_ptr<Load>>& loads) {
  for (auto& load : loads) {
    load->End();
  }
  loads.clear();
}

}  // namespace review
