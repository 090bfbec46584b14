#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <iostream>

#include "platform/standin/platform_standin.h"
#include "platform/standin/target_standin.h"
#include "standin/engine_standin.h"

namespace {

// Listens, prints the bound address and serves until SIGTERM or SIGINT.
template <typename Standin>
int Serve(boost::asio::io_context& context,
          Standin& standin,
          const std::string& address) {
  const auto endpoint = jackdaw::ParseEndpoint(address);
  const auto bound = endpoint
                         ? standin.Listen(endpoint.value())
                         : jackdaw::Result<jackdaw::Endpoint>(endpoint.error());
  if (!bound) {
    std::cerr << "jackdaw-standin: " << bound.error().Line() << "\n";
    return jackdaw::ExitCode(bound.error().kind);
  }
  std::cout << "listening " << jackdaw::ToText(bound.value()) << std::endl;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { context.stop(); });
  context.run();
  return 0;
}

// Runs a stand-in for a target, with the platform's interface.
int ServeTarget(boost::asio::io_context& context,
                const cxxopts::ParseResult& parsed,
                const std::string& address) {
  const auto store = jackdaw::ParseEndpoint(parsed["store"].as<std::string>());
  if (!store) {
    std::cerr << "jackdaw-standin: --store: " << store.error().Line() << "\n";
    return jackdaw::ExitCode(store.error().kind);
  }
  jackdaw::serving::platform::TargetStandinShape shape;
  shape.id = parsed["name"].as<std::string>();
  shape.service = parsed["service"].as<std::string>();
  shape.failure_domain = parsed["failure-domain"].as<std::string>();
  shape.models = parsed["models"].as<std::vector<std::string>>();
  std::erase(shape.models, std::string());
  shape.first_time =
      jackdaw::Micros(parsed["first-token-us"].as<std::int64_t>());
  shape.pause = jackdaw::Micros(parsed["token-us"].as<std::int64_t>());
  shape.load_time =
      std::chrono::milliseconds(parsed["load-ms"].as<std::int64_t>());
  shape.slots = parsed["slots"].as<int>();
  shape.body_bytes = parsed["body-bytes"].as<std::size_t>();
  shape.store = store.value();
  jackdaw::serving::platform::TargetStandin standin(context, shape);
  return Serve(context, standin, address);
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options(
      "jackdaw-standin",
      "Test stand-in for the platform, an engine or a target.");
  options.add_options()("role",
                        "platform, engine (own interface) or target (the "
                        "platform's interface)",
                        cxxopts::value<std::string>())(
      "listen", "Address",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "name", "Name", cxxopts::value<std::string>()->default_value("engine"))(
      "plain", "Act as a plain service")(
      "models", "Models loaded at startup, separated by commas",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "memory-mb", "Accelerator memory in MB",
      cxxopts::value<std::int64_t>()->default_value("80000"))(
      "first-token-us", "Time to the first token in microseconds",
      cxxopts::value<std::int64_t>()->default_value("20000"))(
      "token-us", "Time between two tokens in microseconds",
      cxxopts::value<std::int64_t>()->default_value("10000"))(
      "ignore-fence", "Execute orders with an outdated fencing number")(
      "load-ms", "Time of a model load without a weight store, in milliseconds",
      cxxopts::value<std::int64_t>()->default_value("200"))(
      "service", "Service of a target",
      cxxopts::value<std::string>()->default_value("service"))(
      "failure-domain", "Failure domain of a target",
      cxxopts::value<std::string>()->default_value("a"))(
      "slots", "Requests that a target runs at once",
      cxxopts::value<int>()->default_value("8"))(
      "body-bytes", "Least length of a target's complete response",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "store", "Store address at which a target registers itself",
      cxxopts::value<std::string>()->default_value(""))(
      "weights", "Platform address to fetch weights from",
      cxxopts::value<std::string>()->default_value(""))("help",
                                                        "Print this help");
  options.parse_positional({"role"});
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0 || parsed.count("role") == 0) {
      std::cout << options.help()
                << "Example: jackdaw-standin engine --models m1,m2\n";
      return parsed.count("help") != 0 ? 0 : 2;
    }
    boost::asio::io_context context(1);
    const auto address = parsed["listen"].as<std::string>();
    if (parsed["role"].as<std::string>() == "platform") {
      jackdaw::serving::platform::PlatformStandin standin(context);
      return Serve(context, standin, address);
    }
    if (parsed["role"].as<std::string>() == "target") {
      return ServeTarget(context, parsed, address);
    }
    jackdaw::EngineShape shape;
    shape.name = parsed["name"].as<std::string>();
    shape.plain = parsed.count("plain") != 0;
    shape.models = parsed["models"].as<std::vector<std::string>>();
    shape.memory_mb = parsed["memory-mb"].as<std::int64_t>();
    shape.first_token_us = parsed["first-token-us"].as<std::int64_t>();
    shape.token_us = parsed["token-us"].as<std::int64_t>();
    shape.checks_fence = parsed.count("ignore-fence") == 0;
    shape.load_ms = parsed["load-ms"].as<std::int64_t>();
    const auto weights =
        jackdaw::ParseEndpoint(parsed["weights"].as<std::string>());
    if (weights) {
      shape.weights = weights.value();
    }
    jackdaw::EngineStandin standin(context, shape);
    return Serve(context, standin, address);
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "jackdaw-standin: " << failure.what()
              << "; see jackdaw-standin --help\n";
    return 2;
  }
}
