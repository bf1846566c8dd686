// What a router has learned of the numbering of its services' events; logs what changes.
#pragma once

#include <string>

#include "direct/endpoint_tracker.h"
#include "persimmon/event_numbering.h"

namespace persimmon {

class numbering_tracker {
 public:
  event_numbering Find(const std::string& service, const chosen_endpoint& endpoint) const {
    return numberings_.Find(service, endpoint.version);
  }

  // Records what a run has shown, whether it was broken or not.
  void Record(const std::string& service, const chosen_endpoint& endpoint, const numbering_sample& sample);

 private:
  event_numberings numberings_;
};

}  // namespace persimmon
