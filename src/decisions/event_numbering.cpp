#include "persimmon/event_numbering.h"

#include <algorithm>
#include <bit>

namespace persimmon {
namespace {

constexpr std::uint32_t kMaxRuns = 8;   // of one endpoint that are remembered
constexpr std::size_t kMinVoters = 2;   // one endpoint alone may be the faulty one
constexpr int kMinVaryingRuns = 2;      // of one endpoint; a single run may be a fault that does not come again
constexpr std::uint32_t kSoleRuns = 4;  // varying runs that count where only one endpoint is known

// The value that more than half of all values have, at least kMinVoters.
std::optional<std::uint64_t> FindMajority(const std::vector<std::uint64_t>& values) {
  for (const std::uint64_t value : values) {
    const auto count = static_cast<std::size_t>(std::count(values.begin(), values.end(), value));
    if (count >= kMinVoters && count * 2 > values.size()) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace

bool numbering_votes::IsVarying(const voter& vote) {
  const int varying = std::popcount(vote.varying);
  return varying >= kMinVaryingRuns && static_cast<std::uint32_t>(varying) * 2 >= vote.runs;
}

void numbering_votes::Record(const std::string& endpoint, const numbering_sample& sample) {
  if (sample == numbering_sample{}) {
    return;
  }
  auto found =
      std::find_if(voters_.begin(), voters_.end(), [&](const voter& vote) { return vote.endpoint == endpoint; });
  if (found == voters_.end()) {
    if (voters_.size() == kMaxVoters) {
      voters_.erase(voters_.begin());
    }
    found = voters_.insert(voters_.end(), voter{endpoint});
  }
  std::rotate(found, found + 1, voters_.end());
  voter& vote = voters_.back();
  if (sample.first) {
    vote.first = sample.first;
  }
  if (sample.step || sample.varies) {
    constexpr std::uint32_t kAllRuns = (1U << kMaxRuns) - 1;
    vote.step = sample.step ? sample.step : vote.step;
    vote.runs = std::min(vote.runs + 1, kMaxRuns);
    vote.varying = (vote.varying << 1U | (sample.varies ? 1U : 0U)) & kAllRuns;
  }
  Count();
}

void numbering_votes::Count() {
  std::vector<std::uint64_t> firsts;
  std::vector<std::uint64_t> steps;
  std::size_t voters = 0;
  std::size_t varying = 0;
  for (const voter& vote : voters_) {
    if (vote.first) {
      firsts.push_back(*vote.first);
    }
    voters += vote.runs > 0 ? 1 : 0;
    varying += IsVarying(vote) ? 1 : 0;
    if (vote.step && !IsVarying(vote)) {
      steps.push_back(*vote.step);
    }
  }
  const bool is_sole = voters_.size() == 1 && voters_.front().runs >= kSoleRuns;
  known_.first = FindMajority(firsts);
  known_.varies = varying * 2 > voters && (varying >= kMinVoters || is_sole);
  known_.step = known_.varies ? std::nullopt : FindMajority(steps);
}

event_numbering event_numberings::Find(const std::string& service, const std::string& version) const {
  const auto found = votes_.find({service, version});
  return found == votes_.end() ? event_numbering{} : found->second.Known();
}

bool event_numberings::Record(const std::string& service, const std::string& version, const std::string& endpoint,
                              const numbering_sample& sample) {
  const std::pair key(service, version);
  if (votes_.size() >= kMaxServices && !votes_.contains(key)) {
    votes_.clear();
  }
  numbering_votes& votes = votes_[key];
  const event_numbering before = votes.Known();
  votes.Record(endpoint, sample);
  return votes.Known() != before;
}

}  // namespace persimmon
