#include "fleet/leader_row.h"

#include <boost/json.hpp>

#include "core/object_reader.h"

namespace jackdaw::serving {
namespace {

// Largest number that is read; the holder counts on from it.
constexpr std::int64_t kMaxNumber = 1LL << 52;

}  // namespace

std::string EncodeLeaderLease(const LeaderLease& lease) {
  return boost::json::serialize(
      boost::json::value{{"holder", lease.holder},
                         {"address", lease.address},
                         {"boot", lease.boot_id},
                         {"term", lease.term},
                         {"renewals", lease.renewals},
                         {"store_epoch", lease.store_epoch},
                         {"store_ms", lease.renewed_at.ms},
                         {"silent", EncodeSilent(lease.silent)},
                         {"released", lease.released}});
}

Result<LeaderLease> DecodeLeaderLease(std::string_view document) {
  BOOST_OUTCOME_TRY(const boost::json::value value, ParseJson(document));
  ObjectReader reader(value, "");
  LeaderLease lease;
  lease.holder = reader.Text("holder");
  lease.address = reader.Text("address");
  lease.boot_id = reader.Text("boot");
  lease.term = reader.Integer("term", 0, kMaxNumber);
  lease.renewals = reader.Integer("renewals", 0, kMaxNumber);
  lease.store_epoch = reader.IntegerOr("store_epoch", 0, kMaxNumber, 0);
  lease.renewed_at.epoch = lease.store_epoch;
  lease.renewed_at.ms = reader.IntegerOr("store_ms", 0, INT64_MAX, 0);
  BOOST_OUTCOME_TRY(lease.silent, ReadSilent(reader));
  lease.released = reader.FlagOr("released", false);
  BOOST_OUTCOME_TRY(reader.FinishKnown());
  return lease;
}

}  // namespace jackdaw::serving
