// Relay of TCP connections for tests and bench: delay, limited rate, connections that go silent, are cut or refused.
#pragma once

#include <cstdint>
#include <memory>

#include "core/settings.h"
#include "core/timers.h"
#include "persimmon/error.h"

namespace persimmon {

struct fake_link_options {
  host_port listen;             // port 0: chosen by the system
  host_port to;                 // where connections are passed on to
  std::int64_t delay_ms = 0;    // one way
  double rate_bytes_per_s = 0;  // shared by all connections, for each direction; 0: no limit

  bool operator==(const fake_link_options&) const = default;
};

class fake_link {
 public:
  fake_link(asio::io_context& context, fake_link_options options);
  ~fake_link();
  fake_link(const fake_link&) = delete;
  fake_link& operator=(const fake_link&) = delete;

  // Errors: kUnavailable if the address is taken.
  result<void> Start();
  void Stop();
  std::uint16_t Port() const;

  // Existing connections stay open and carry nothing until the silence is taken back; new ones work.
  void SetSilent(bool silent);
  void CutConnections();
  void SetDelay(std::int64_t delay_ms);
  // Nobody listens while connections are refused. Errors: kUnavailable if the address has been taken meanwhile.
  result<void> SetRefuse(bool refuse);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
