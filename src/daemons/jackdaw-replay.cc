#include <iostream>
#include <string>
#include <vector>

#include "replay/command.h"

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  const std::string name = words.empty() ? "--help" : words.front();
  for (const auto& command : jackdaw::ReplayCommands()) {
    if (command.name == name) {
      return command.run(std::span(words).subspan(1));
    }
  }
  std::cout << "jackdaw-replay runs the decision code under a virtual clock.\n"
               "Commands:\n";
  for (const auto& command : jackdaw::ReplayCommands()) {
    std::cout << "  " << command.name << ": " << command.help << "\n";
  }
  std::cout << "Example: jackdaw-replay bench\n";
  return name == "--help" ? 0 : 2;
}
