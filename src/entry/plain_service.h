#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "entry/answer_reader.h"
#include "entry/attempts.h"
#include "entry/call_claim.h"
#include "entry/caller_request.h"
#include "entry/refuser.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// Serves calls of plain services. A call that is not idempotent is
/// dispatched once, after its intent row is stored, and never sent again.
class PlainService {
 public:
  PlainService(InstanceContext& context, Refuser& refuser)
      : context_(context), refuser_(refuser) {}

  boost::asio::awaitable<void> Serve(HttpExchange& exchange,
                                     CallerRequest request);

 private:
  // A call on its way and what was decided for it.
  struct Call {
    Admitted admitted;
    std::string service;
    std::string path;
  };

  static AttemptSubject SubjectOf(const HttpRequest& from,
                                  const CallerRequest& request,
                                  const Call& call);
  boost::asio::awaitable<void> Run(HttpExchange& exchange,
                                   const CallerRequest& request,
                                   Call call);
  boost::asio::awaitable<void> Dispatch(HttpExchange& exchange,
                                        const CallerRequest& request,
                                        const Call& call,
                                        CallClaim& claim);
  boost::asio::awaitable<ReadAnswer> Send(const HttpRequest& from,
                                          const CallerRequest& request,
                                          const Call& call,
                                          const PickedTarget& target);

  InstanceContext& context_;
  Refuser& refuser_;
};

}  // namespace jackdaw
