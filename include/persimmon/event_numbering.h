// What is learned of the numbering of events, by service and software version, from the runs of their endpoints.
//
// Each endpoint has one vote, so that a faulty minority neither changes what is known nor turns the check of steps off.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "persimmon/event_sequence.h"

namespace persimmon {

// Votes of the endpoints that serve one version of a service.
class numbering_votes {
 public:
  static constexpr std::size_t kMaxVoters = 16;  // endpoints; the one whose latest run is the oldest is replaced

  void Record(const std::string& endpoint, const numbering_sample& sample);

  // The first id and the step of more than half of the voters, at least two. Ids vary if those of more than half do, in
  // half of their latest runs.
  const event_numbering& Known() const { return known_; }

 private:
  struct voter {
    std::string endpoint;
    std::optional<std::uint64_t> first = {};  // of its latest run that began a stream
    std::optional<std::uint64_t> step = {};   // of its latest run with equal steps
    std::uint32_t runs = 0;                   // that show the step or that it varies; at most kMaxRuns
    std::uint32_t varying = 0;                // which of the latest runs did, as bits
  };

  static bool IsVarying(const voter& vote);
  void Count();

  std::vector<voter> voters_;  // in the order of their latest runs
  event_numbering known_;
};

class event_numberings {
 public:
  static constexpr std::size_t kMaxServices = 64;  // pairs of service and version; if there are more, all are forgotten

  event_numbering Find(const std::string& service, const std::string& version) const;

  // Returns true if what is known has changed.
  bool Record(const std::string& service, const std::string& version, const std::string& endpoint,
              const numbering_sample& sample);

 private:
  std::map<std::pair<std::string, std::string>, numbering_votes> votes_;
};

}  // namespace persimmon
