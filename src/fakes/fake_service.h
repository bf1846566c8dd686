// Fake of a plain application service. It counts every call, so that tests can detect a call that ran twice.
// The interface is described in section 13 of docs/design.md.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/settings.h"
#include "core/timers.h"
#include "persimmon/error.h"

namespace persimmon {

struct fake_service_options {
  host_port listen;              // port 0: assigned by the OS
  std::string name = "service";  // shown in responses
  std::int64_t delay_ms = 0;     // duration of a call
  std::string calls_file;        // log of calls, read again at startup so that counts survive a crash; empty: none

  bool operator==(const fake_service_options&) const = default;
};

class fake_service {
 public:
  fake_service(asio::io_context& context, fake_service_options options);
  ~fake_service();
  fake_service(const fake_service&) = delete;
  fake_service& operator=(const fake_service&) = delete;

  // Errors: kUnavailable if the address is taken.
  result<void> Start();
  void Stop();
  std::uint16_t Port() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
