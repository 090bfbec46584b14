#pragma once

#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gateway/caller_connection.h"
#include "gateway/event_splitter.h"
#include "gateway/exchange_dependencies.h"
#include "gateway/request_trace.h"
#include "gateway/response_body.h"
#include "gateway/target_connection.h"
#include "serving/request_metadata.h"

namespace jackdaw::serving {

/// Forwards one request from a caller to a target and the response back. A
/// request is retried only if the target cannot have run it or if the route
/// allows it to run again.
class Exchange final : public CallerTask,
                       public TargetConnectionUser,
                       public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<CallerConnection> caller,
           CallerRequest request,
           ConfigPtr config,
           ExchangeDependencies& deps,
           Instant started_at,
           bool closing);
  ~Exchange() override;

  /// Admits and dispatches the request. The response may be sent before this
  /// returns.
  void Start();

  void OnCallerDisconnected(std::string_view why) override;
  void OnWriteComplete() override;
  void OnRoom() override;
  bool MayReceive() override;
  void OnShutdown() override;
  void OnConnected() override;
  void OnDataReceived() override;
  void OnConnectionEnd(ConnectionEnd end) override;

 private:
  /// No attempt is started with less time left before the deadline.
  static constexpr Micros kMinTimeLeft = 20ms;
  /// Maximum of targets chosen per request.
  static constexpr int kMaxTargetChoices = 4;

  using ResponseParser = boost::beast::http::response_parser<ResponseBody>;

  /// What shows the caller where the body of the response ends.
  enum class BodyEnd : std::uint8_t { kLength, kLastChunk, kConnection };

  /// An error response that the instance itself sends: a machine-readable kind,
  /// and a remedy that says what the caller can do.
  struct Rejection {
    int status = 503;
    std::string_view kind;
    std::string_view remedy;
    /// Time at which the caller may retry, sent as Retry-After if set.
    std::optional<Instant> retry_at;
  };

  // Admission.
  bool ResolveRoute();
  void Admit();
  void OnUnitsCharged(ChargeOutcome outcome);
  void RejectCrashing(std::uint64_t cause);
  void ChooseService();

  // Sending.
  void Dispatch();
  TargetPick PickTarget(std::span<const TargetPtr> excluded) const;
  std::vector<TargetPtr> AllTriedTargets() const;
  TargetPick PickTarget() const;
  void OnAdapterLoaded(const TargetPtr& target);
  void CountDomain(DomainReason reason);
  void AskToSend(const TargetPick& pick);
  void OnSendPermission(const TargetPick& pick,
                        const SendPermission& permission);
  void OnNoTarget(const TargetPick& pick);
  void RejectMissingModel(Instant now);
  void TraceChoice(const TargetPick& pick, Instant now);
  Micros SlotTime(const Target& target, int excess, Instant now) const;
  bool DelayOrReject(const TargetPick& pick);
  void SetWaiting(bool waiting);
  void SendTo(const TargetPtr& target, Instant at);
  bool TakeSend(Instant now);
  void OpenConnection();
  void SendRequest();

  // End of an attempt.
  bool TryTakeRetry(bool may_have_run);
  void RetryAfterBreak();
  void Retry(std::string_view reason, bool may_have_run);
  void EndAttempt(TargetOutcome outcome);
  void ArmStallTimer();
  void OnStall();
  void OnDeadline();

  // Response.
  void RecordProgress();
  void StartParser();
  bool ParseResponse();
  bool SkipOtherResponse();
  bool SkipForeignResponse();
  std::string_view AnswerFraming() const;
  void OnResponseHead();
  void CheckRefusal();
  void OnResponseProgress();
  void OnFailedResponse();
  void OnAttemptBroken(std::string_view how);
  void ForwardEvents(bool last);
  void ForwardBytes(bool last);
  void SendBufferedResponse();
  bool EndsInsideEvent() const;
  void BeginResponse(BodyEnd body_end, std::string_view framing);
  void KeepConnectionForReadAhead();
  void AppendBody(std::string_view bytes);
  void EndBody();
  void Flush();
  void AccountResponse();
  bool FailedResponse() const;
  void ForwardHeldBack();
  void PauseReading();
  void OnReadingPaused();
  std::string ResponseHeadText(std::string_view framing) const;
  void Reject(const Rejection& rejection);
  void AbortResponse(std::string_view why);
  bool IsLate() const;
  void RecordEnd(std::string_view outcome, int status, std::string_view reason);
  void Close();

  std::shared_ptr<CallerConnection> caller_;
  /// The request without its body.
  CallerRequest request_;
  /// Shared with the connection that sends it.
  std::shared_ptr<const std::string> body_;
  ConfigPtr config_;
  ExchangeDependencies& deps_;
  RequestTrace trace_;
  /// The caller's connection is closed after the response, since the instance
  /// shuts down.
  bool closing_;
  /// The shutdown ends the requests in progress.
  bool ended_by_shutdown_ = false;

  RequestMetadata call_;
  const Route* route_ = nullptr;
  const Workspace* workspace_ = nullptr;
  const Service* service_ = nullptr;
  CrashCauses causes_;
  QuotaCharge charge_;
  int priority_ = 5;
  Instant deadline_{};
  TimerQueue::Handle deadline_timer_;
  TimerQueue::Handle attempt_timer_;
  TimerQueue::Handle pause_timer_;

  // The attempt in progress.
  TargetPtr target_;
  /// The request as it is counted at the target.
  SentRequest sent_request_;
  TargetConnectionPtr connection_;
  std::optional<ResponseParser> parser_;
  ResponseMetadata response_head_;
  Instant sent_at_{};
  /// Time until which the leader's permission may be used; zero without one.
  Instant granted_until_{};
  /// Time by which the request must have left.
  Instant send_until_ = Instant::max();
  /// Expected time from sending to the end of this prompt's prefill, with that
  /// of the prompts queued before it.
  Micros expected_prefill_{};
  bool sent_ = false;
  /// The target ended the connection before the response was complete.
  bool connection_ended_ = false;
  /// An event has arrived in this attempt.
  bool event_received_ = false;
  /// TargetRegistry::OnFirstByte was called for this attempt.
  bool first_byte_recorded_ = false;
  bool head_parsed_ = false;
  int informational_responses_ = 0;
  /// Responses to other requests that were received, and bytes of their bodies.
  int foreign_responses_ = 0;
  std::size_t foreign_bytes_ = 0;
  /// The parser reads such a response.
  bool skipping_ = false;
  bool connection_reused_ = false;

  // All attempts.
  /// Targets that failed or rejected the request.
  std::vector<TargetPtr> excluded_targets_;
  /// Targets that were silent for too long. They may be sound, so they are
  /// chosen again if no other target is left.
  std::vector<TargetPtr> silent_targets_;
  int attempts_ = 0;
  int target_choices_ = 0;
  int adapter_requests_ = 0;
  int send_requests_ = 0;
  /// Pacing holds the request back in favor of more urgent ones.
  bool waiting_ = false;
  bool may_have_run_ = false;
  bool done_ = false;
  bool end_recorded_ = false;

  // The response to the caller.
  EventSplitter events_;
  /// The caller has the head of an event stream.
  bool is_stream_ = false;
  bool head_sent_ = false;
  BodyEnd body_end_ = BodyEnd::kLength;
  bool response_ended_ = false;
  bool caller_writing_ = false;
  bool reading_paused_ = false;
  /// The response is not read because memory is short.
  bool waits_for_room_ = false;
  /// Bytes that the caller's connection had written when the pause began.
  std::uint64_t written_at_pause_ = 0;
  std::string pending_output_;
  /// Time at which the first bytes were queued for the caller.
  Instant first_forwarded_at_{};
  /// Start of the current stall period: the last connect, send, received bytes
  /// or declined move to another target.
  Instant last_progress_at_{};
  /// Longest pause between bytes received from the target after the first bytes
  /// were queued for the caller.
  Micros longest_pause_{};
};

}  // namespace jackdaw::serving
