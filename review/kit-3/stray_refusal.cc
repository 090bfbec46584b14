// A faulty engine sends additional bytes after complete answers. They look like
// a refusal, but bear no attempt's id.
#include "stray.h"

namespace {

using namespace review;

constexpr const char* kStrayBytes =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";

// REFUSED: a booking that has run, or runs later, is answered 429 or 503.
bool BreaksRule(const Booking& booking) {
  return booking.ran &&
         (booking.got.status == 429 || booking.got.status == 503);
}

Task Play(Lab& lab, bool trouble, int& verdict) {
  return PlayStrayBytes(lab, trouble, kStrayBytes, BreaksRule, verdict);
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, Play);
}
