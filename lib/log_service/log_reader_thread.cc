#include "bamboorack/log_service/log_reader_thread.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "bamboorack/core/stoppable_wait.h"

namespace bamboorack::log_service {

using std::chrono::steady_clock;

LogReaderThread::LogReaderThread(const Endpoint& log, LogOffset from,
                                 BoundedRing<FromLog>& ring, Metrics& counters,
                                 LogReaderSettings limits)
    : settings(limits),
      client(log, counters),
      // The log's offsets start at 1.
      position(std::max(from, LogOffset(1))),
      out(ring),
      metrics(counters) {}

LogReaderThread::~LogReaderThread() { this->Stop(); }

void LogReaderThread::Start() {
  this->thread =
      std::jthread([this](const std::stop_token& stop) { this->Run(stop); });
}

void LogReaderThread::Stop() {
  this->thread.request_stop();
  if (this->thread.joinable()) this->thread.join();
}

void LogReaderThread::Run(const std::stop_token& stop) {
  std::chrono::milliseconds pause = this->settings.shortest_pause;
  while (!stop.stop_requested()) {
    if (this->ReadOnce(stop)) {
      pause = this->settings.shortest_pause;
      continue;
    }
    WaitUntil(stop, steady_clock::now() + pause);
    pause = std::min(pause * 2, this->settings.longest_pause);
  }
}

bool LogReaderThread::ReadOnce(const std::stop_token& stop) {
  const ReadOptions options{this->position, this->settings.max_records,
                            this->settings.wait};
  auto read = this->client.Read(
      options, steady_clock::now() + options.wait + this->settings.answer_limit,
      stop);
  if (stop.stop_requested()) return false;
  if (!read) {
    this->OnFailure(std::move(read.error()));
    return false;
  }
  this->OnAnswer(*read);
  const LogOffset next = read->next;
  const bool is_empty = read->records.empty();
  const MonotonicTime earliest_next = read->sent_at + options.wait / 2;
  if (!this->out.TryPush(std::move(*read))) {
    // The position stays, so that the same records are read again.
    this->metrics.Count("log_reads_refused_by_ring");
    return false;
  }
  this->position = next;
  // A log that answers empty reads without delay must not be read in a spin.
  if (is_empty) WaitUntil(stop, earliest_next);
  return true;
}

void LogReaderThread::OnFailure(std::string detail) {
  this->metrics.Count("log_reads_failed");
  if (!this->is_failing) {
    LOG(WARNING) << "event=log_lost position=" << this->position << " detail=\""
                 << detail << '"';
  }
  this->is_failing = true;
  if (!this->out.TryPush(ReadFailed{std::move(detail)})) {
    this->metrics.Count("log_reads_refused_by_ring");
  }
}

void LogReaderThread::OnAnswer(const RecordsRead& read) {
  this->metrics.Count("log_reads");
  if (this->is_failing) {
    LOG(INFO) << "event=log_back position=" << this->position;
  }
  this->is_failing = false;
  if (read.first_kept <= this->position) return;
  this->metrics.Count("log_reads_trimmed");
  LOG(WARNING) << "event=log_trimmed position=" << this->position
               << " first_kept=" << read.first_kept;
}

}  // namespace bamboorack::log_service
