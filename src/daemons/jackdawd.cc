#include <malloc.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

#include "core/log.h"
#include "core/object_reader.h"
#include "gateway/gateway.h"
#include "instance/instance.h"

namespace {

using jackdaw::Error;
using jackdaw::Result;

int Fail(const Error& error) {
  std::cerr << "jackdawd: " << error.Line() << "\n";
  return jackdaw::ExitCode(error.kind);
}

Result<jackdaw::InstanceSettings> LoadSettings(const std::string& path) {
  BOOST_OUTCOME_TRY(const auto text, jackdaw::ReadFile(path));
  auto settings = jackdaw::ParseInstanceSettings(text);
  if (!settings) {
    Error error = settings.error();
    error.message = path + ": " + error.message;
    return error;
  }
  return settings;
}

// Runs a gateway on the platform until SIGTERM or SIGINT.
int RunGateway(const std::string& path, std::string_view text, bool check) {
  auto settings = jackdaw::serving::ParseGatewaySettings(text);
  if (!settings) {
    Error error = settings.error();
    error.message = path + ": " + error.message;
    return Fail(error);
  }
  if (check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  jackdaw::SetUpStandardOutputLogging(settings.value().name,
                                      settings.value().log_level);
  jackdaw::serving::Gateway gateway(settings.value(), path);
  const auto ran = gateway.Run();
  jackdaw::FlushLogging();
  return ran ? 0 : Fail(ran.error());
}

// Runs an instance until SIGTERM, SIGINT or an operator's drain command.
int Run(const jackdaw::InstanceSettings& settings) {
  jackdaw::SetUpLogging(settings.name, settings.log_format, settings.log_level);
  jackdaw::Instance instance(settings);
  boost::asio::io_context signals_context;
  boost::asio::signal_set signals(signals_context, SIGTERM, SIGINT);
  signals.async_wait([&](const auto& failure, int) {
    if (!failure) {
      instance.BeginDrain();
    }
  });
  const auto bound = instance.Start();
  if (!bound) {
    return Fail(bound.error());
  }
  std::cout << "entry " << bound.value().entry << "\noperators "
            << bound.value().operators << "\npeer " << bound.value().peer
            << std::endl;
  std::thread signals_thread([&] { signals_context.run(); });
  instance.WaitDrained();
  signals_context.stop();
  signals_thread.join();
  return 0;
}

}  // namespace

// Buffers of this size and above are returned to the system when they are
// freed. The allocator would otherwise raise the size with the first large
// body, and keep the memory of later ones.
constexpr int kReturnedBytes = 128 * 1024;

int main(int argc, char** argv) {
  ::mallopt(M_MMAP_THRESHOLD, kReturnedBytes);
  ::mallopt(M_TRIM_THRESHOLD, kReturnedBytes);
  cxxopts::Options options(
      "jackdawd", "Serves callers and runs the control tasks it leads.");
  options.add_options()("settings", "JSON file of settings",
                        cxxopts::value<std::string>())(
      "check-settings", "Check the settings and exit")(
      "version", "Print the version")("help", "Print this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << "Example: jackdawd --settings a.json\n";
      return 0;
    }
    if (parsed.count("version") != 0) {
      std::cout << "jackdawd " << JACKDAW_VERSION << "\n";
      return 0;
    }
    if (parsed.count("settings") == 0) {
      return Fail({jackdaw::ErrorKind::kInvalidSetting, "--settings is missing",
                   "name the JSON file: jackdawd --settings FILE"});
    }
    const auto path = parsed["settings"].as<std::string>();
    const auto text = jackdaw::ReadFile(path);
    if (text && jackdaw::serving::IsGatewaySettings(text.value())) {
      return RunGateway(path, text.value(),
                        parsed.count("check-settings") != 0);
    }
    auto settings = LoadSettings(path);
    if (!settings && settings.error().kind == jackdaw::ErrorKind::kMalformed) {
      settings.error().kind = jackdaw::ErrorKind::kInvalidSetting;
    }
    if (!settings) {
      return Fail(settings.error());
    }
    if (parsed.count("check-settings") != 0) {
      std::cout << "settings are valid\n";
      return 0;
    }
    return Run(settings.value());
  } catch (const cxxopts::exceptions::exception& failure) {
    return Fail({jackdaw::ErrorKind::kInvalidSetting, failure.what(),
                 "see jackdawd --help"});
  }
}
