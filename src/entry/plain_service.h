#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "entry/answer_reader.h"
#include "entry/attempt_tracker.h"
#include "entry/call_claim.h"
#include "entry/caller_request.h"
#include "entry/refusal_sender.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// Serves calls of plain services. A call that is not idempotent is dispatched
/// at most once: with an Idempotency-Key, after its intent row is stored. It is
/// not retried once any byte of it may have reached a target.
class PlainService {
 public:
  PlainService(InstanceContext& context, RefusalSender& refusal_sender)
      : context_(context), refusal_sender_(refusal_sender) {}

  boost::asio::awaitable<void> Serve(HttpExchange& exchange,
                                     CallerRequest request);

 private:
  // A call and the decision of its admission.
  struct Call {
    Admitted admitted;
    // Maximum wait for the head of the answer of one target.
    Micros first_byte{};
    std::string service;
    std::string path;
  };

  static AttemptSubject SubjectOf(const HttpRequest& from,
                                  const CallerRequest& request,
                                  const Call& call);
  boost::asio::awaitable<void> ClaimAndDispatch(HttpExchange& exchange,
                                                const CallerRequest& request,
                                                Call call);
  boost::asio::awaitable<void> Dispatch(HttpExchange& exchange,
                                        const CallerRequest& request,
                                        const Call& call,
                                        CallClaim& claim);
  boost::asio::awaitable<AnswerResult> Send(const HttpRequest& from,
                                            const CallerRequest& request,
                                            const Call& call,
                                            const PickedTarget& target,
                                            StopMonitor& monitor);

  InstanceContext& context_;
  RefusalSender& refusal_sender_;
};

}  // namespace jackdaw
