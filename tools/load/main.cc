#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <thread>

#include "bamboorack/core/json_fields.h"
#include "load_worker.h"

namespace {

using bamboorack::load::LoadReport;
using bamboorack::load::LoadSettings;
using bamboorack::load::LoadWorker;

void Merge(LoadReport& total, LoadReport&& part) {
  for (const auto& [name, count] : part.outcomes) total.outcomes[name] += count;
  for (const auto& [name, count] : part.reasons) total.reasons[name] += count;
  total.latencies.insert(total.latencies.end(), part.latencies.begin(),
                         part.latencies.end());
  total.longest_gap = std::max(total.longest_gap, part.longest_gap);
  std::move(part.requests.begin(), part.requests.end(),
            std::back_inserter(total.requests));
  total.wrong_answers += part.wrong_answers;
}

std::chrono::microseconds Quantile(
    const std::vector<std::chrono::microseconds>& sorted, double share) {
  if (sorted.empty()) return std::chrono::microseconds(0);
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * share)];
}

void Print(LoadReport& report) {
  std::sort(report.latencies.begin(), report.latencies.end());
  for (const auto& [name, count] : report.outcomes) {
    std::cout << "outcome " << name << ' ' << count << '\n';
  }
  for (const auto& [name, count] : report.reasons) {
    std::cout << "reason " << name << ' ' << count << '\n';
  }
  std::cout << "wrong_answers " << report.wrong_answers << '\n'
            << "p50_us " << Quantile(report.latencies, 0.5).count() << '\n'
            << "p99_us " << Quantile(report.latencies, 0.99).count() << '\n'
            << "longest_gap_ms " << report.longest_gap.count() << '\n';
}

}  // namespace

/// Sends a bounded load to daemons and prints what came back.
int main(int argc, char** argv) {
  CLI::App app("sends a bounded load to daemons and prints what came back");
  LoadSettings settings;
  std::vector<std::string> targets;
  std::string rank = "lookup";
  std::string ids_file;
  int workers = 8;
  int seconds = 5;
  int pause_ms = 5;
  int limit_ms = 500;
  app.add_option("--target", targets, "caller endpoint of a daemon")
      ->required()
      ->check([](const std::string& text) {
        return bamboorack::EndpointFromText(text)
                   ? std::string()
                   : "\"" + text + "\" is not an endpoint ADDRESS:PORT";
      });
  app.add_option("--service", settings.service)->required();
  app.add_option("--rank", rank)
      ->check(CLI::IsMember({"lookup", "once", "bulk"}));
  app.add_option("--workers", workers)->check(CLI::Range(1, 200));
  app.add_option("--keys", settings.keys_per_worker)
      ->check(CLI::Range(1, 1000));
  app.add_option("--body-bytes", settings.body_bytes);
  app.add_option("--seconds", seconds)->check(CLI::Range(1, 600));
  app.add_option("--pause-ms", pause_ms)->check(CLI::Range(0, 10'000));
  app.add_option("--limit-ms", limit_ms)->check(CLI::Range(1, 600'000));
  app.add_option("--ids-file", ids_file,
                 "writes 'id outcome' for each once or bulk request");
  CLI11_PARSE(app, argc, argv);
  for (const std::string& target : targets) {
    settings.targets.push_back(*bamboorack::EndpointFromText(target));
  }
  settings.rank = *bamboorack::RankFromName(rank);
  settings.pause = std::chrono::milliseconds(pause_ms);
  settings.request_limit = std::chrono::milliseconds(limit_ms);
  settings.end_at =
      std::chrono::steady_clock::now() + std::chrono::seconds(seconds);

  std::vector<LoadReport> parts(static_cast<std::size_t>(workers));
  std::vector<std::thread> threads;
  threads.reserve(parts.size());
  for (int i = 0; i < workers; ++i) {
    threads.emplace_back([&settings, &parts, i] {
      parts[static_cast<std::size_t>(i)] = LoadWorker(settings, i).Run();
    });
  }
  for (std::thread& thread : threads) thread.join();
  LoadReport total;
  for (LoadReport& part : parts) Merge(total, std::move(part));
  Print(total);
  if (ids_file.empty()) return 0;
  std::ofstream ids(ids_file);
  for (const auto& request : total.requests) {
    ids << request.id << ' ' << request.outcome << '\n';
  }
  return ids.good() ? 0 : 1;
}
