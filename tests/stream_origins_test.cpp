// Versions of a service that may have begun a resumed stream, and copies of the origins of streams at other routers.
#include "persimmon/stream_origins.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

namespace persimmon {
namespace {

constexpr milliseconds kRetention(30'000);
const time_point kStart{std::chrono::hours(1)};

TEST(recent_names_test, Candidates_AfterAVersionIsGone_KeepItForTheRetention) {
  recent_names versions;
  versions.Set({"v1"}, kStart);
  versions.Set({"v1", "v2"}, kStart);
  versions.Set({"v2"}, kStart + milliseconds(1'000));
  EXPECT_EQ(versions.Candidates(kStart + kRetention, kRetention), (name_set{"v1", "v2"}));
  EXPECT_EQ(versions.Candidates(kStart + kRetention + milliseconds(1'000), kRetention), name_set{"v2"});
}

// A version that comes back serves, whatever was seen of it before.
TEST(recent_names_test, Candidates_WhenAVersionComesBack_IncludeIt) {
  recent_names versions;
  versions.Set({"v1"}, kStart);
  versions.Set({"v2"}, kStart);
  versions.Set({"v1", "v2"}, kStart + kRetention * 2);
  EXPECT_EQ(versions.Candidates(kStart + kRetention * 3, kRetention), (name_set{"v1", "v2"}));
}

// Guards against names of endpoints' versions that are kept for the life of the router.
TEST(recent_names_test, NamesOfThePast_AfterTheRetention_AreForgotten) {
  recent_names versions;
  time_point now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += kRetention / 10;
    versions.Set({std::to_string(i)}, now);
    versions.RemoveExpired(now, kRetention);
  }
  EXPECT_EQ(versions.Size(), 11U);  // the one in use, and those of the last ten periods
  EXPECT_EQ(versions.Candidates(now, kRetention).size(), 11U);
  versions.RemoveExpired(now + kRetention, kRetention);
  EXPECT_EQ(versions.Size(), 1U);
  EXPECT_EQ(versions.Current(), name_set{"99"});
}

// Guards against a restarted router that takes the only version it sees for the only one there was.
TEST(recent_names_test, Candidates_OfARestartedRouter_IncludeRecordedVersions) {
  recent_names versions;
  versions.AddSeen({"v1", "v2"}, kStart);
  versions.Set({"v2"}, kStart);
  EXPECT_EQ(versions.Candidates(kStart + milliseconds(100), kRetention), (name_set{"v1", "v2"}));
  EXPECT_EQ(versions.Candidates(kStart + kRetention, kRetention), name_set{"v2"});
}

// Routers that copy origins to each other; messages are delivered, lost or late.
class origin_group {
 public:
  explicit origin_group(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      routers_.emplace_back();
      Restart(i);
    }
    UpdateHolders();
  }

  void Restart(std::size_t index) {
    router& started = routers_[index];
    started.table.emplace(AddressOf(index), stream_origin_settings{});
    started.incarnation = ++next_incarnation_;
    started.is_live = true;
  }
  void Kill(std::size_t index) {
    routers_[index].table.reset();
    routers_[index].is_live = false;
  }
  void UpdateHolders() {
    std::vector<origin_holder> holders;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      if (routers_[i].is_live) {
        holders.push_back({AddressOf(i), routers_[i].incarnation});
      }
    }
    for (router& each : routers_) {
      if (each.is_live) {
        each.table->SetHolders(holders);
      }
    }
  }

  // Sends the due copies of all routers; `is_lost` decides for each message. Returns the number of copies sent.
  std::size_t SendCopies(time_point now, const std::function<bool()>& is_lost) {
    std::size_t sent = 0;
    for (router& sender : routers_) {
      if (!sender.is_live) {
        continue;
      }
      for (const auto& [holder, copies] : sender.table->TakeDueCopies(now)) {
        sent += copies.size();
        router& receiver = routers_[static_cast<std::size_t>(std::stoi(holder.address))];
        if (!receiver.is_live || is_lost()) {
          continue;
        }
        std::vector<origin_key> held;
        for (const stream_origin& copy : copies) {
          receiver.table->RecordCopy(copy);
          held.push_back(copy.attempt);
        }
        if (!is_lost()) {
          sender.table->RecordHeld({holder.address, receiver.incarnation}, held);
        }
      }
    }
    return sent;
  }

  // What a router finds locally or at the holders that it asks.
  std::optional<std::uint64_t> Find(std::size_t asker, origin_key attempt, time_point now) const {
    auto found = routers_[asker].table->Find(attempt, now);
    for (const origin_holder& holder : routers_[asker].table->HoldersOf(attempt)) {
      const router& asked = routers_[static_cast<std::size_t>(std::stoi(holder.address))];
      if (!found && asked.is_live) {
        found = asked.table->Find(attempt, now);
      }
    }
    return found;
  }

  std::size_t CopyCount(origin_key attempt, time_point now) const {
    return static_cast<std::size_t>(std::count_if(routers_.begin(), routers_.end(), [&](const router& each) {
      return each.is_live && each.table->Find(attempt, now).has_value();
    }));
  }

  stream_origin_table& Table(std::size_t index) { return *routers_[index].table; }

 private:
  struct router {
    std::optional<stream_origin_table> table;
    std::uint64_t incarnation = 0;
    bool is_live = false;
  };
  static std::string AddressOf(std::size_t index) { return std::to_string(index); }

  std::vector<router> routers_;
  std::uint64_t next_incarnation_ = 0;
};

// Guards against losing the version of a stream with the router that began it, and with one of the holders.
RC_GTEST_PROP(stream_origins_test, Find_AfterTwoRoutersEndAtOnce_StillFindsTheVersion, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(4, 12);
  origin_group group(count);
  const auto first = *rc::gen::inRange<std::size_t>(0, count);
  const origin_key attempt = OriginKey(*rc::gen::arbitrary<std::string>());
  group.Table(first).Record({attempt, 7, kStart + milliseconds(14'000)});
  // Each message is lost with a probability of a quarter; eight sends are enough.
  std::minstd_rand random(*rc::gen::inRange<std::uint32_t>(1, 1'000'000));
  for (int i = 0; i < 8; ++i) {
    group.SendCopies(kStart + milliseconds(100) * i, [&random] { return random() % 4 == 0; });
  }
  const time_point now = kStart + milliseconds(1'000);
  RC_ASSERT(group.CopyCount(attempt, now) >= 3U);
  auto second = *rc::gen::inRange<std::size_t>(0, count - 1);
  second += second >= first ? 1 : 0;
  group.Kill(first);
  group.Kill(second);
  group.UpdateHolders();
  for (std::size_t asker = 0; asker < count; ++asker) {
    if (asker != first && asker != second) {
      RC_ASSERT(group.Find(asker, attempt, now) == std::optional<std::uint64_t>(7));
    }
  }
}

// A restart of all routers in turn, while the router that began the stream is long gone.
TEST(stream_origins_test, Find_AfterAllRoutersRestartInTurn_StillFindsTheVersion) {
  constexpr std::size_t kRouters = 5;
  origin_group group(kRouters);
  std::vector<origin_key> attempts;
  time_point now = kStart;
  for (std::size_t i = 0; i < 50; ++i) {
    attempts.push_back(OriginKey("attempt-" + std::to_string(i)));
    group.Table(i % kRouters).Record({attempts.back(), 7, kStart + milliseconds(14'000)});
  }
  group.SendCopies(now, [] { return false; });
  for (std::size_t restarted = 0; restarted < kRouters; ++restarted) {
    group.Kill(restarted);
    group.UpdateHolders();
    group.SendCopies(now += milliseconds(500), [] { return false; });
    group.Restart(restarted);
    group.UpdateHolders();
    group.SendCopies(now += milliseconds(500), [] { return false; });
  }
  for (const origin_key attempt : attempts) {
    EXPECT_EQ(group.Find(0, attempt, now), std::optional<std::uint64_t>(7));
  }
}

// The cost of a stream must not grow with the number of routers, nor may holders send copies to each other for ever.
TEST(stream_origins_test, Copies_AmongManyRouters_AreFewAndSentOnce) {
  constexpr std::size_t kRouters = 370;
  origin_group group(kRouters);
  const origin_key attempt = OriginKey("attempt");
  group.Table(0).Record({attempt, 7, kStart + milliseconds(14'000)});
  std::size_t sent = 0;
  for (int i = 0; i < 20; ++i) {
    sent += group.SendCopies(kStart + milliseconds(100) * i, [] { return false; });
  }
  EXPECT_LE(sent, stream_origin_settings{}.copies);
  EXPECT_EQ(group.CopyCount(attempt, kStart + milliseconds(2'000)), 4U);
}

TEST(stream_origins_test, Copies_ThatAreNeverAcknowledged_AreSentALimitedNumberOfTimes) {
  origin_group group(5);
  group.Table(0).Record({OriginKey("attempt"), 7, kStart + milliseconds(14'000)});
  std::size_t sent = 0;
  for (int i = 0; i < 100; ++i) {
    sent += group.SendCopies(kStart + milliseconds(100) * i, [] { return true; });
  }
  EXPECT_LE(sent, stream_origin_settings{}.copies * stream_origin_settings{}.max_sends);
}

// Placing all copies at once would hold up requests for as long as it takes.
TEST(stream_origins_test, Copies_AfterAHolderHasLeft_ArePlacedAnewInSteps) {
  constexpr std::size_t kOrigins = 1'000;
  stream_origin_settings settings;
  settings.copies = 2;
  settings.max_replaced = 100;
  stream_origin_table table("own", settings);
  table.SetHolders({{"one", 1}, {"two", 1}});
  for (std::uint64_t i = 1; i <= kOrigins; ++i) {
    table.RecordCopy({i, 7, kStart + milliseconds(14'000)});
  }
  EXPECT_TRUE(table.TakeDueCopies(kStart).empty()) << "the router that sent the copies serves the holders";
  table.SetHolders({{"one", 1}, {"three", 1}});
  std::size_t sent = 0;
  for (std::size_t step = 0; step < kOrigins / settings.max_replaced; ++step) {
    const auto due = table.TakeDueCopies(kStart + milliseconds(1));
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due.begin()->first.address, "three");
    EXPECT_EQ(due.begin()->second.size(), settings.max_replaced);
    sent += due.begin()->second.size();
  }
  EXPECT_EQ(sent, kOrigins);
  EXPECT_TRUE(table.TakeDueCopies(kStart + milliseconds(2)).empty());
}

TEST(stream_origins_test, Find_AfterTheExpiry_FindsNothingAndMemoryIsFreed) {
  stream_origin_table table("own", {});
  table.Record({1, 7, kStart + milliseconds(1'000)});
  EXPECT_TRUE(table.Find(1, kStart));
  EXPECT_FALSE(table.Find(1, kStart + milliseconds(1'000)));
  table.RemoveExpired(kStart + milliseconds(1'000));
  EXPECT_EQ(table.Size(), 0U);
}

// Guards against a flood of streams that fills the memory, and against an origin that changes its version.
TEST(stream_origins_test, Record_BeyondTheLimit_DropsThoseThatExpireFirst) {
  stream_origin_settings settings;
  settings.max_origins = 100;
  stream_origin_table table("own", settings);
  for (std::uint64_t i = 1; i <= 1'000; ++i) {
    table.Record({i, 7, kStart + milliseconds(i)});
  }
  EXPECT_EQ(table.Size(), 100U);
  EXPECT_FALSE(table.Find(900, kStart));
  EXPECT_TRUE(table.Find(901, kStart));
  table.Record({1'000, 8, kStart + milliseconds(5'000)});
  EXPECT_EQ(table.Find(1'000, kStart + milliseconds(4'000)), std::optional<std::uint64_t>(7));
}

TEST(record_confirmations_test, Record_UntilEachRouterHasConfirmedIt_IsDoubtful) {
  record_confirmations confirmations;
  EXPECT_FALSE(confirmations.IsDoubtful(kStart, kRetention));
  confirmations.Begin(2, kStart, {{"one", 1}, {"two", 1}}, true);
  EXPECT_TRUE(confirmations.IsDoubtful(kStart, kRetention));
  confirmations.RecordConfirmed({"one", 1}, 2);
  confirmations.RecordConfirmed({"two", 2}, 2);  // the process that has replaced it knows less
  confirmations.RecordConfirmed({"two", 1}, 1);  // in the era before
  EXPECT_TRUE(confirmations.IsDoubtful(kStart, kRetention));
  confirmations.RecordConfirmed({"two", 1}, 3);
  EXPECT_FALSE(confirmations.IsDoubtful(kStart, kRetention));
}

TEST(record_confirmations_test, Record_ThatARouterNeverConfirms_IsDoubtfulForTheRetention) {
  record_confirmations confirmations;
  confirmations.Begin(2, kStart, {{"one", 1}}, true);
  EXPECT_TRUE(confirmations.IsDoubtful(kStart + kRetention - milliseconds(1), kRetention));
  EXPECT_FALSE(confirmations.IsDoubtful(kStart + kRetention, kRetention));
}

// Guards against a second restore that hides what the routers of the first one knew.
TEST(record_confirmations_test, Record_AfterTwoRestores_NeedsTheRoutersOfBoth) {
  record_confirmations confirmations;
  confirmations.Begin(2, kStart, {{"one", 1}}, true);
  confirmations.Begin(3, kStart + milliseconds(1'000), {{"two", 1}}, true);
  confirmations.RecordConfirmed({"two", 1}, 3);
  EXPECT_TRUE(confirmations.IsDoubtful(kStart + milliseconds(1'000), kRetention));
}

TEST(record_confirmations_test, Record_WhileOtherRoutersAreNotHeard_IsDoubtful) {
  record_confirmations confirmations;
  confirmations.Begin(2, kStart, {}, false);
  EXPECT_TRUE(confirmations.IsDoubtful(kStart, kRetention));
}

}  // namespace
}  // namespace persimmon
