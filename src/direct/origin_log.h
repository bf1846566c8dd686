// Keeps the origins of streams in the store, so that they outlive all routers. Used by origin_tracker.
//
// Each process of a router writes rows of its own, in batches. A row is rewritten until it is full. After a failed
// write, which may still take effect, the next batch goes to a new row, so that no late write replaces a newer one.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/timers.h"
#include "persimmon/stream_origins.h"
#include "platform/table_client.h"

namespace persimmon {

class origin_log {
 public:
  // `router`: address of this router.
  origin_log(table_client table, std::string router, std::uint64_t incarnation);

  void Add(const stream_origin& origin) { pending_.push_back(origin); }

  // True if there is something to write or to remove.
  bool HasWork(time_point now) const;

  // Writes the added origins and removes rows of this process whose origins have expired. Added origins stay for the
  // next call if the write fails. One call at a time. Errors: those of table_client::Commit.
  task<result<void>> Write();

  // Returns the origins that have been written since the previous call, by all routers; all of them the first time.
  // The times of expiry are set to now + `lifetime`. Rows that earlier processes of this router have written are
  // removed after that time. One call at a time. Errors: those of table_client::ReadTable.
  task<result<std::vector<stream_origin>>> Read(milliseconds lifetime);

  // Removes the rows of routers that are not in `live`. Errors: those of table_client.
  task<result<void>> RemoveOthers(std::vector<std::string> live);

 private:
  struct own_row {
    std::string key;
    time_point expiry;
  };

  task<result<std::vector<table_row>>> ReadChangedRows();

  table_client table_;
  std::string router_;
  std::uint64_t incarnation_;
  std::vector<stream_origin> pending_;
  std::vector<stream_origin> open_row_;  // content of the row that is written last
  std::uint64_t row_number_ = 0;
  std::deque<own_row> own_rows_;  // without the open one
  std::optional<std::uint64_t> read_version_;
  std::uint64_t read_era_ = 0;
};

}  // namespace persimmon
