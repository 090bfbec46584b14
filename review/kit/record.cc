#include "record.h"

#include <algorithm>
#include <cstdio>

namespace review {
namespace {

std::string Fixed(double ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%9.1f", ms);
  return text;
}

}  // namespace

Record::Record(const std::string& path) : out_(path) {}

Record::~Record() {
  out_ << "\n# attempts: sent_ms id instance tenant units status answered_ms "
          "runs_ms\n";
  std::vector<Attempt> sorted = attempts();
  std::ranges::sort(sorted, {}, &Attempt::sent_ms);
  for (const Attempt& attempt : sorted) {
    out_ << Fixed(attempt.sent_ms) << ' ' << attempt.id << ' '
         << attempt.instance << ' ' << attempt.tenant << ' ' << attempt.units
         << ' ' << attempt.status << ' ' << Fixed(attempt.answered_ms);
    for (const double run : attempt.runs_ms) {
      out_ << ' ' << Fixed(run);
    }
    out_ << '\n';
  }
}

double Record::NowMs() const {
  return std::chrono::duration<double, std::milli>(Clock::now() - started_at_)
      .count();
}

void Record::Note(const std::string& line) {
  const std::lock_guard lock(mutex_);
  out_ << Fixed(NowMs()) << ' ' << line << std::endl;
}

void Record::OnSent(const Attempt& attempt) {
  const std::lock_guard lock(mutex_);
  attempts_[attempt.id] = attempt;
}

void Record::OnAnswer(const std::string& id, int status) {
  const std::lock_guard lock(mutex_);
  attempts_[id].status = status;
  attempts_[id].answered_ms = NowMs();
}

void Record::OnRun(const std::string& id) {
  const std::lock_guard lock(mutex_);
  attempts_[id].runs_ms.push_back(NowMs());
}

bool Record::HasRun(const std::string& id) const {
  const std::lock_guard lock(mutex_);
  const auto found = attempts_.find(id);
  return found != attempts_.end() && !found->second.runs_ms.empty();
}

std::vector<Record::Attempt> Record::attempts() const {
  const std::lock_guard lock(mutex_);
  std::vector<Attempt> all;
  for (const auto& [id, attempt] : attempts_) {
    all.push_back(attempt);
  }
  return all;
}

FullestWindow FindFullestWindow(const std::vector<Record::Attempt>& attempts,
                                const std::string& tenant,
                                double window_ms) {
  FullestWindow fullest;
  for (const Record::Attempt& first : attempts) {
    if (first.tenant != tenant || first.runs_ms.empty()) {
      continue;
    }
    std::int64_t units = 0;
    for (const Record::Attempt& other : attempts) {
      const bool within = other.tenant == tenant && !other.runs_ms.empty() &&
                          other.sent_ms >= first.sent_ms &&
                          other.runs_ms.front() < first.sent_ms + window_ms;
      units += within ? other.units : 0;
    }
    if (units > fullest.units) {
      fullest = {first.sent_ms, units};
    }
  }
  return fullest;
}

}  // namespace review
