#include "gateway/event_splitter.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

BOOST_AUTO_TEST_CASE(ForwardsOnlyCompleteEvents) {
  EventSplitter events;
  std::string out;
  events.Add("id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(events.TakeCompleteEvents(out) == 1);
  BOOST_TEST(out == "id: 1\ndata: a\n\n");
  events.Add("ta: b\n\n");
  BOOST_TEST(events.TakeCompleteEvents(out) == 1);
  BOOST_TEST(out == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(*events.last_event() == 2);
}

BOOST_AUTO_TEST_CASE(ContinuationBeginsWithTheNextEvent) {
  EventSplitter events;
  std::string out;
  events.Add("id: 7\r\ndata: a\r\n\r\nid: 8\r\ndata: hal");
  BOOST_TEST(events.TakeCompleteEvents(out) == 1);
  events.BeginContinuation();
  BOOST_TEST(events.awaits_next());
  out.clear();
  events.Add("id: 8\r\ndata: half\r\n\r\n");
  BOOST_TEST(events.TakeCompleteEvents(out) == 1);
  BOOST_TEST(out == "id: 8\r\ndata: half\r\n\r\n");
  BOOST_TEST(!events.awaits_next());
}

BOOST_AUTO_TEST_CASE(ContinuationWithAnotherEventIsOutOfSequence) {
  for (const char* first : {"id: 1\n", "id: 7\n", "id: 9\n", ""}) {
    EventSplitter events;
    std::string out;
    events.Add("id: 6\ndata: a\n\nid: 7\ndata: a\n\n");
    events.TakeCompleteEvents(out);
    events.BeginContinuation();
    out.clear();
    events.Add(first + std::string("data: b\n\nid: 8\ndata: c\n\n"));
    BOOST_TEST(events.TakeCompleteEvents(out) == 0);
    BOOST_TEST(out.empty());
    BOOST_TEST(events.out_of_sequence());
    events.BeginContinuation();
    events.Add("id: 8\ndata: c\n\n");
    BOOST_TEST(events.TakeCompleteEvents(out) == 1);
  }
}

BOOST_AUTO_TEST_CASE(IdsThatSkippedNumbersMaySkipSomeInAContinuation) {
  EventSplitter events;
  std::string out;
  events.Add("id: 10\ndata: a\n\nid: 20\ndata: b\n\n");
  events.TakeCompleteEvents(out);
  events.BeginContinuation();
  events.Add("id: 30\ndata: c\n\n");
  BOOST_TEST(events.TakeCompleteEvents(out) == 1);
  events.BeginContinuation();
  events.Add("id: 30\ndata: c\n\n");
  BOOST_TEST(events.TakeCompleteEvents(out) == 0);
}

BOOST_AUTO_TEST_CASE(StreamCanBeContinuedOnlyBehindAnId) {
  EventSplitter events;
  std::string out;
  BOOST_TEST(!events.can_continue());
  events.Add("id: 1\ndata: a\n\n: comment\n\n");
  events.TakeCompleteEvents(out);
  BOOST_TEST(events.can_continue());
  events.Add("data: b\n\n");
  events.TakeCompleteEvents(out);
  BOOST_TEST(!events.can_continue());
}

BOOST_AUTO_TEST_CASE(KeepsBytesAfterLastEventOfEndedStream) {
  EventSplitter events;
  std::string out;
  events.Add("id: 1\ndata: a\n\n: end");
  events.TakeCompleteEvents(out);
  BOOST_TEST(events.TakeRemainder() == ": end");
  BOOST_TEST(events.TakeRemainder().empty());
}

BOOST_AUTO_TEST_CASE(EverySplitOfTheBytesGivesSameEvents) {
  const std::string stream =
      "weight: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    EventSplitter events;
    std::string out;
    events.Add(stream.substr(0, cut));
    int taken = events.TakeCompleteEvents(out);
    events.Add(stream.substr(cut));
    taken += events.TakeCompleteEvents(out);
    BOOST_TEST(taken == 3);
    BOOST_TEST(out == stream);
  }
}

}  // namespace
}  // namespace jackdaw::serving
