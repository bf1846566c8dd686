// Microkernel: a registry of named services. Services look each other up by name; the kernel starts them in order of
// registration and stops them in reverse order.
#pragma once

#include <boost/asio/io_context.hpp>
#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <typeindex>
#include <vector>

#include "core/log.h"
#include "core/timers.h"

namespace persimmon {

// A service has Start and Stop. Start may use services registered earlier; Stop must be idempotent.
template <class type>
concept service = requires(type& value) {
  {value.Start()};
  {value.Stop()};
};

namespace detail {

// An io_context that can drop its handlers, and with them suspended coroutines, before it is destroyed itself.
class droppable_context : public asio::io_context {
 public:
  using asio::io_context::io_context;

  // Nothing runs afterwards. Sockets and timers may still be destroyed.
  void DropHandlers() { shutdown(); }
};

}  // namespace detail

class kernel {
 public:
  kernel() : timers_(context_) {}
  kernel(const kernel&) = delete;
  kernel& operator=(const kernel&) = delete;
  // Suspended coroutines refer to services, so they end before these are destroyed.
  ~kernel() {
    Stop();
    context_.DropHandlers();
  }

  asio::io_context& Context() { return context_; }
  timer_service& Timers() { return timers_; }

  // Constructs a service and registers it under a name. A duplicate name aborts the program.
  template <service type, class... arguments>
  type& Register(std::string_view name, arguments&&... args) {
    if (FindEntry(name) != nullptr) {
      AbortProgram(fmt::format("Service '{}' is already registered.", name));
    }
    auto instance = std::make_shared<type>(std::forward<arguments>(args)...);
    type& reference = *instance;
    entries_.push_back(entry{std::string(name), std::type_index(typeid(type)), instance,
                             [&reference] { reference.Start(); }, [&reference] { reference.Stop(); }});
    return reference;
  }

  // Returns the service of that name. A missing service or a different type aborts the program.
  template <service type>
  type& Find(std::string_view name) {
    const entry* found = FindEntry(name);
    if (found == nullptr) {
      AbortProgram(fmt::format("No service is registered as '{}'.", name));
    }
    if (found->type != std::type_index(typeid(type))) {
      AbortProgram(fmt::format("Service '{}' has a different type.", name));
    }
    return *static_cast<type*>(found->instance.get());
  }

  bool Has(std::string_view name) const { return FindEntry(name) != nullptr; }

  void Start() {
    for (const entry& item : entries_) {
      item.start();
    }
    started_ = true;
  }

  void Stop() {
    if (!started_) {
      return;
    }
    started_ = false;
    for (auto item = entries_.rbegin(); item != entries_.rend(); ++item) {
      item->stop();
    }
  }

 private:
  struct entry {
    std::string name;
    std::type_index type;
    std::shared_ptr<void> instance;
    std::function<void()> start;
    std::function<void()> stop;
  };

  const entry* FindEntry(std::string_view name) const {
    for (const entry& item : entries_) {
      if (item.name == name) {
        return &item;
      }
    }
    return nullptr;
  }

  detail::droppable_context context_{1};
  timer_service timers_;
  std::vector<entry> entries_;
  bool started_ = false;
};

}  // namespace persimmon
