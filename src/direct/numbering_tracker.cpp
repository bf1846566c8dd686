#include "direct/numbering_tracker.h"

#include "core/event_log.h"

namespace persimmon {

void numbering_tracker::Record(const std::string& service, const chosen_endpoint& endpoint,
                               const numbering_sample& sample) {
  if (!numberings_.Record(service, endpoint.version, endpoint.name.value, sample)) {
    return;
  }
  const event_numbering known = Find(service, endpoint);
  event_line line = Events().Line("router.streams", "event_numbering");
  line.Add("service", service).Add("version", endpoint.version).Add("endpoint", endpoint.name.value);
  line.Add("first", known.first ? std::to_string(*known.first) : "");
  line.Add("step", known.step ? std::to_string(*known.step) : "").Add("varies", known.varies);
}

}  // namespace persimmon
