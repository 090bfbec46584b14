// A faulty engine sends additional bytes after complete answers. They look like
// a success, but bear neither an attempt's id nor an engine's signature.
#include "stray.h"

namespace {

using namespace review;

constexpr const char* kStrayBytes =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Content-Length: 20\r\n\r\n{\"seat\":\"not yours\"}";

// MIXED: a success without an engine's signature, or with another body than
// the engine's.
bool BreaksRule(const Booking& booking) {
  return booking.got.status >= 200 && booking.got.status < 300 &&
         (booking.got.signature.empty() || booking.got.body != booking.body);
}

Task Play(Lab& lab, bool trouble, int& verdict) {
  return PlayStrayBytes(lab, trouble, kStrayBytes, BreaksRule, verdict);
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, Play);
}
