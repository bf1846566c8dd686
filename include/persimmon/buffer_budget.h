// Bounds the memory that all connections of a process together use for message bodies.
//
// The load that this answers: many callers send long bodies at the same time. A limit per request does not bound their
// sum. A body gets its whole amount before it is read, so two half-read bodies never wait for each other. Bodies wait
// in the order of their arrival.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <utility>

namespace persimmon {

class buffer_budget : public std::enable_shared_from_this<buffer_budget> {
 public:
  // Amount taken from the budget. It is returned when the lease is destroyed, or partly by Shrink.
  class lease {
   public:
    lease() = default;
    lease(std::shared_ptr<buffer_budget> budget, std::size_t bytes) : budget_(std::move(budget)), bytes_(bytes) {}
    lease(lease&& other) noexcept : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0)) {}
    lease& operator=(lease&& other) noexcept {
      std::swap(budget_, other.budget_);
      std::swap(bytes_, other.bytes_);
      return *this;
    }
    lease(const lease&) = delete;
    lease& operator=(const lease&) = delete;
    ~lease() { Shrink(0); }

    // Returns all but `bytes` of the amount; does nothing if the amount is smaller.
    void Shrink(std::size_t bytes);

    std::size_t Bytes() const { return bytes_; }

   private:
    std::shared_ptr<buffer_budget> budget_;
    std::size_t bytes_ = 0;
  };

  using grant_handler = std::function<void(lease)>;
  using request_id = std::uint64_t;

  // `limit`: bytes.
  explicit buffer_budget(std::size_t limit) : limit_(limit) {}

  // Calls `granted` once the amount is available, possibly before Request returns. An amount above the limit is granted
  // when nothing else is in use. `granted` must not call Request or Cancel.
  request_id Request(std::size_t bytes, grant_handler granted);

  // Removes a request that still waits. Returns false if it has been granted.
  bool Cancel(request_id id);

  // Grants waiting requests if the new limit allows them.
  void SetLimit(std::size_t limit);

  std::size_t InUse() const { return in_use_; }  // bytes
  std::size_t WaitingCount() const { return waiting_.size(); }

 private:
  struct waiting_request {
    request_id id = 0;
    std::size_t bytes = 0;
    grant_handler granted;
  };

  void Release(std::size_t bytes);
  void GrantWaiting();

  std::size_t limit_;
  std::size_t in_use_ = 0;
  request_id last_id_ = 0;
  std::list<waiting_request> waiting_;
};

}  // namespace persimmon
