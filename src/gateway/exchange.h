#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/caller_connection.h"
#include "gateway/event_splitter.h"
#include "gateway/exchange_ports.h"
#include "gateway/request_trace.h"
#include "gateway/target_link.h"
#include "serving/request_metadata.h"

namespace jackdaw::serving {

/// Carries one request from a caller to a target and the answer back. It
/// decides on second sends: none unless the target cannot have run the
/// request, or the route allows it to run again.
class Exchange final : public CallerTask,
                       public LinkUser,
                       public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<CallerConnection> caller,
           CallerRequest request,
           ConfigPtr config,
           ExchangePorts& ports,
           Instant began,
           bool closing);
  ~Exchange() override;

  /// Begins. The answer may be given before it returns.
  void Start();

  void OnCallerGone() override;
  void OnCallerReady() override;
  void OnInstanceEnds() override;
  void OnLinkOpen() override;
  void OnLinkBytes() override;
  void OnLinkEnd(LinkEnd end) override;

 private:
  using AnswerParser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  /// How an answer of our own is phrased and whether it promises something.
  struct Refusal {
    int status = 503;
    std::string_view kind;
    std::string_view remedy;
    /// Moment at which the caller should come again; unset gives no hint.
    std::optional<Instant> retry_at;
  };

  // Admission.
  bool Identify();
  void Admit();
  void OnBorrowed(double units);
  void ChooseService();

  // Sending.
  void Dispatch();
  void OnAdapterLoaded(const TargetPtr& target);
  void OnNoTarget(const TargetPick& pick);
  void RefuseMissingModel(Instant now);
  void TraceChoice(const TargetPick& pick, Instant now);
  bool PaceTo(const TargetPick& pick);
  void SetWaiting(bool waiting);
  void SendTo(const TargetPtr& target, Instant at);
  void OpenLink();
  void SendRequest();
  bool MayRetry(bool may_have_run);
  void Retry(std::string_view reason, bool may_have_run);
  void EndAttempt(TargetOutcome outcome);
  void ArmStall();
  void OnStall();
  void OnDeadline();

  // Answering.
  bool ParseAnswer();
  void OnAnswerHead();
  void OnAnswerProgress();
  void OnFailedAnswer();
  void OnAttemptBroken(std::string_view how);
  void ForwardEvents(bool last);
  void ForwardBytes(bool last);
  void SendWhole();
  void AppendChunk(std::string_view bytes);
  void Flush();
  std::string AnswerHeadText(std::string_view framing) const;
  void Refuse(const Refusal& refusal);
  void BreakOff(std::string_view why);
  bool IsLate() const;
  void LogEnd(std::string_view outcome, int status, std::string_view reason);
  void Close();

  std::shared_ptr<CallerConnection> caller_;
  CallerRequest request_;
  ConfigPtr config_;
  ExchangePorts& ports_;
  RequestTrace trace_;
  bool closing_;

  RequestMetadata call_;
  const Route* route_ = nullptr;
  const Workspace* workspace_ = nullptr;
  const Service* service_ = nullptr;
  std::uint64_t digest_ = 0;
  double charged_ = 0;
  int priority_ = 5;
  Instant deadline_{};
  DeadlineQueue::Handle deadline_handle_;
  DeadlineQueue::Handle stall_handle_;

  // The attempt under way.
  TargetPtr target_;
  LinkPtr link_;
  std::optional<AnswerParser> parser_;
  ResponseMetadata answer_;
  Instant sent_at_{};
  Micros expected_reading_{};
  bool sent_ = false;
  bool first_byte_ = false;
  bool head_seen_ = false;
  bool link_was_used_ = false;

  // All attempts.
  std::vector<TargetPtr> tried_;
  int sends_ = 0;
  int opens_ = 0;
  int adapter_asks_ = 0;
  /// The request lets more urgent ones go first.
  bool waiting_ = false;
  bool may_have_run_ = false;
  bool done_ = false;

  // The answer to the caller.
  EventSplitter events_;
  bool is_stream_ = false;
  bool head_sent_ = false;
  /// Framing of a large answer that has no length.
  bool chunked_ = false;
  bool answer_ended_ = false;
  bool caller_writing_ = false;
  bool paused_ = false;
  std::string pending_;
  Instant first_event_at_{};
  Instant progress_at_{};
  /// Longest pause between two events as they came from the target.
  Micros longest_pause_{};
};

}  // namespace jackdaw::serving
