// TCP proxy with fault injection for tests and benchmarks: adds delay, limits bandwidth, and stalls, closes or refuses
// connections.
#pragma once

#include <cstdint>
#include <memory>

#include "core/settings.h"
#include "core/timers.h"
#include "persimmon/error.h"

namespace persimmon {

struct fake_link_options {
  host_port listen;             // port 0: assigned by the OS
  host_port target;             // address that connections are forwarded to
  std::int64_t delay_ms = 0;    // latency added in each direction
  double rate_bytes_per_s = 0;  // bandwidth per direction, shared by all connections; 0: unlimited

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

  // Stalls the connections that exist now: they stay open, but forward nothing until SetSilent(false). New connections
  // are not affected.
  void SetSilent(bool silent);
  // Closes both sides of all connections.
  void CutConnections();
  // Applies to data that is received from now on.
  void SetDelay(std::int64_t delay_ms);
  // Closes or reopens the listening socket; existing connections stay. Errors: kUnavailable if another process has
  // taken the address in the meantime.
  result<void> SetRefusingConnections(bool refusing);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
