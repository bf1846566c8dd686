// Refuses requests that repeatedly crash the endpoints that run them. A service of the kernel.
//
// When a connection to an endpoint breaks before the complete response, a health check determines whether the endpoint
// has crashed. A request that was running during several crashes and never received a response is refused for a limited
// time by every router that has recorded these crashes or received the crash reports about the request.
#pragma once

#include "core/kernel.h"
#include "direct/endpoint_tracker.h"
#include "net/http.h"
#include "persimmon/suspects.h"

namespace persimmon {

class suspect_tracker {
 public:
  suspect_tracker(kernel& services, http_client& client);

  void Start();
  void Stop() {}

  // Hash of target and body, seeded with the length of the method, so that a repeated request has the same fingerprint.
  static fingerprint_number Fingerprint(const http_request& request);

  // Remaining time of the refusal; nothing if the request may run.
  std::optional<milliseconds> RemainingRefusal(fingerprint_number fingerprint) const;

  void RecordStart(fingerprint_number fingerprint, const chosen_endpoint& endpoint);
  void RecordEnd(fingerprint_number fingerprint, const chosen_endpoint& endpoint, bool answered);

  // No complete response arrived, for example because the connection was closed or reset. Checks the health of the
  // endpoint. Returns true if it has crashed.
  task<bool> CheckDisconnect(fingerprint_number fingerprint, chosen_endpoint endpoint, std::string health_path);

  // Like CheckDisconnect, without waiting for the result.
  void RecordDisconnect(fingerprint_number fingerprint, const chosen_endpoint& endpoint,
                        const std::string& health_path);

  // Requests that run at an endpoint, as far as this router knows.
  std::size_t RunningCount() const { return suspects_.RunningCount(); }

  // Called when an endpoint has crashed, at least once for each crash.
  std::function<void(const chosen_endpoint&)> on_crash;

  // True if the endpoint refuses a connection shortly after its response has ended. One that does not answer in time
  // has not crashed.
  task<bool> HasCrashed(chosen_endpoint endpoint, std::string health_path);

 private:
  kernel& kernel_;
  http_client& client_;
  suspect_table suspects_;
};

}  // namespace persimmon
