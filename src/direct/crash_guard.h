// Requests that crash the endpoints that run them. A service of the kernel.
//
// A run that breaks off is held against its endpoint until a look at the endpoint has shown whether it has crashed. A
// request that was running in several crashes and never got an answer is refused for a while, by every router that has
// heard of it.
#pragma once

#include "core/kernel.h"
#include "direct/endpoint_board.h"
#include "net/http.h"
#include "persimmon/suspects.h"

namespace persimmon {

class crash_guard {
 public:
  crash_guard(kernel& services, http_client& client);

  void Start();
  void Stop() {}

  // Equal for requests that are sent again: method, target and body.
  static fingerprint_number Fingerprint(const http_request& request);

  // Time until the request may run again, if it is refused.
  std::optional<milliseconds> RefusedFor(fingerprint_number fingerprint) const;

  void NoteStart(fingerprint_number fingerprint, const chosen_endpoint& endpoint);
  void NoteEnd(fingerprint_number fingerprint, const chosen_endpoint& endpoint, bool answered);

  // The connection of the run was closed or reset without an answer.
  void NoteBroken(fingerprint_number fingerprint, const chosen_endpoint& endpoint, const std::string& health_path);

 private:
  task<> LookAt(fingerprint_number fingerprint, chosen_endpoint endpoint, std::string health_path);

  kernel& kernel_;
  http_client& client_;
  suspect_table suspects_;
};

}  // namespace persimmon
