#include "persimmon/buffer_budget.h"

#include <algorithm>

namespace persimmon {

void buffer_budget::lease::Shrink(std::size_t bytes) {
  if (budget_ && bytes < bytes_) {
    const std::size_t before = std::exchange(bytes_, bytes);
    budget_->Release(before - bytes);
  }
}

buffer_budget::request_id buffer_budget::Request(std::size_t bytes, grant_handler granted) {
  const request_id id = ++last_id_;
  waiting_.push_back({id, bytes, std::move(granted)});
  GrantWaiting();
  return id;
}

bool buffer_budget::Cancel(request_id id) {
  const std::size_t removed = std::erase_if(waiting_, [id](const waiting_request& item) { return item.id == id; });
  GrantWaiting();  // a large request may have kept smaller ones behind it waiting
  return removed > 0;
}

void buffer_budget::SetLimit(std::size_t limit) {
  limit_ = limit;
  GrantWaiting();
}

void buffer_budget::Release(std::size_t bytes) {
  in_use_ -= bytes;
  GrantWaiting();
}

void buffer_budget::GrantWaiting() {
  while (!waiting_.empty()) {
    const std::size_t bytes = waiting_.front().bytes;
    const bool fits = in_use_ <= limit_ && bytes <= limit_ - in_use_;
    if (!fits && in_use_ > 0) {
      return;
    }
    in_use_ += bytes;
    const grant_handler granted = std::move(waiting_.front().granted);
    waiting_.pop_front();
    granted(lease(shared_from_this(), bytes));
  }
}

}  // namespace persimmon
