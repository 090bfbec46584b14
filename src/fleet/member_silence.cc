#include "fleet/member_silence.h"

namespace jackdaw::serving {
namespace {

// Longest silence that is read, in milliseconds.
constexpr std::int64_t kMaxAgeMs = 3600'000;

}  // namespace

boost::json::array EncodeSilent(std::span<const MemberSilence> silent) {
  boost::json::array members;
  for (const MemberSilence& member : silent) {
    members.push_back({{"name", member.name}, {"age_ms", member.age / 1ms}});
  }
  return members;
}

Result<std::vector<MemberSilence>> ReadSilent(ObjectReader& reader) {
  std::vector<MemberSilence> silent;
  for (const auto& item : reader.ItemsOr("silent")) {
    ObjectReader fields(item, "/silent");
    MemberSilence member;
    member.name = fields.Text("name");
    member.age =
        std::chrono::milliseconds(fields.Integer("age_ms", 0, kMaxAgeMs));
    BOOST_OUTCOME_TRY(fields.FinishKnown());
    silent.push_back(std::move(member));
  }
  return silent;
}

}  // namespace jackdaw::serving
