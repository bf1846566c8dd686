// link: persimmon_core persimmon_net
// Round trips of all messages, and fuzz tests of the decoders: malformed input must not crash them, cause unbounded
// allocation, or be accepted as a message.
#include "net/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <type_traits>

#include "core/settings.h"
#include "core/trace.h"
#include "persimmon/records.h"

namespace persimmon {
namespace {

constexpr int kFuzzInputs = 100'000;
constexpr std::uint64_t kSeed = 20261203;

template <class type>
inline constexpr bool kIsVector = false;
template <class element>
inline constexpr bool kIsVector<std::vector<element>> = true;

// Random values from RapidCheck, which reports the seed of a failure.
struct rapidcheck_source {
  std::uint64_t Number() { return *rc::gen::arbitrary<std::uint64_t>(); }
  std::string Text() { return *rc::gen::arbitrary<std::string>(); }
};

// Random values from a plain generator, for long runs in which RapidCheck would be too slow.
struct generator_source {
  std::mt19937_64& random;

  std::uint64_t Number() { return random() >> (random() % 64); }
  std::string Text() {
    std::string text(random() % 20, '\0');
    for (char& byte : text) {
      byte = static_cast<char>(random());
    }
    return text;
  }
};

// Number of enumerators of each enumeration on the wire. Update it, and LastValue in wire.cpp, for a new enumerator.
std::uint64_t CountValues(slot_role) { return 3; }
std::uint64_t CountValues(permit_verdict) { return 4; }
std::uint64_t CountValues(refusal_reason) { return 7; }
std::uint64_t CountValues(work_state) { return 4; }
std::uint64_t CountValues(outcome_kind) { return 3; }
std::uint64_t CountValues(attempt_phase) { return 5; }
std::uint64_t CountValues(claim_operation_kind) { return 4; }
std::uint64_t CountValues(claim_phase) { return 2; }
std::uint64_t CountValues(claim_result_kind) { return 6; }

// Has the interface of an archive, and fills every serialized field of a message with random values.
template <class source>
struct field_filler {
  source& values;

  template <class... fields>
  void operator()(fields&... all) {
    (Fill(all), ...);
  }

  template <class field>
  void Fill(field& target) {
    if constexpr (std::is_same_v<field, std::string>) {
      target = values.Text();
    } else if constexpr (std::is_same_v<field, bool>) {
      target = values.Number() % 2 == 1;
    } else if constexpr (std::is_enum_v<field>) {
      target = static_cast<field>(values.Number() % CountValues(field{}));
    } else if constexpr (std::is_arithmetic_v<field>) {
      target = static_cast<field>(values.Number());
    } else if constexpr (kIsVector<field>) {
      target.resize(values.Number() % 5);
      for (auto& element : target) {
        Fill(element);
      }
    } else {
      target.serialize(*this);
    }
  }
};

template <std::size_t index = 0>
message MakeDefault(std::size_t type) {
  if constexpr (index + 1 < std::variant_size_v<message>) {
    if (type != index) {
      return MakeDefault<index + 1>(type);
    }
  }
  return message(std::in_place_index<index>);
}

template <class source>
message MakeMessage(std::size_t type, source& values) {
  message value = MakeDefault(type);
  field_filler<source> filler{values};
  std::visit([&filler](auto& content) { content.serialize(filler); }, value);
  return value;
}

void Mutate(std::string& text, std::mt19937_64& random) {
  for (std::uint64_t edits = 1 + random() % 4; edits > 0; --edits) {
    if (text.empty()) {
      text.push_back(static_cast<char>(random()));
      continue;
    }
    const std::size_t position = random() % text.size();
    switch (random() % 6) {
      case 0:
        text[position] = static_cast<char>(random());
        break;
      case 1:
        text[position] = static_cast<char>(text[position] ^ (1 << (random() % 8)));
        break;
      case 2:
        text.resize(position);
        break;
      case 3:
        text.insert(position, 1, static_cast<char>(random()));
        break;
      case 4:
        text.erase(position, 1 + random() % 8);
        break;
      default:
        text.insert(position, text.substr(random() % text.size(), random() % 16));
        break;
    }
  }
}

// Calls a decoder with random inputs and with mutated valid inputs.
template <class valid_input, class decoder>
void Fuzz(const valid_input& make_valid, const decoder& decode) {
  std::mt19937_64 random(kSeed);
  for (int i = 0; i < kFuzzInputs; ++i) {
    std::string input;
    if (i % 4 == 0) {
      input.resize(random() % 200);
      for (char& byte : input) {
        byte = static_cast<char>(random());
      }
    } else {
      input = make_valid(random);
      Mutate(input, random);
    }
    decode(input);
  }
}

std::string MakeFrame(std::mt19937_64& random) {
  generator_source values{random};
  return EncodeFrame(MakeMessage(random() % std::variant_size_v<message>, values));
}

class wire_test : public testing::Test {};

RC_GTEST_FIXTURE_PROP(wire_test, EncodeFrame_WhenDecoded_YieldsEqualMessage, ()) {
  for (std::size_t type = 0; type < std::variant_size_v<message>; ++type) {
    rapidcheck_source values;
    const message value = MakeMessage(type, values);
    const std::string frame = EncodeFrame(value);
    const auto header = DecodeFrameHeader(frame);
    RC_ASSERT(static_cast<bool>(header));
    RC_ASSERT(header.value().type == type);
    RC_ASSERT(header.value().length == frame.size() - kFrameHeaderBytes);
    const auto decoded = DecodeFrameBody(header.value(), std::string_view(frame).substr(kFrameHeaderBytes));
    RC_ASSERT(static_cast<bool>(decoded));
    RC_ASSERT(decoded.value() == value);
  }
}

RC_GTEST_FIXTURE_PROP(wire_test, DecodeDatagram_WhenFrameIsCutOff_IsRefused, ()) {
  const auto type = *rc::gen::inRange<std::size_t>(0, std::variant_size_v<message>);
  rapidcheck_source values;
  const std::string frame = EncodeFrame(MakeMessage(type, values));
  const auto length = *rc::gen::inRange<std::size_t>(0, frame.size());
  RC_ASSERT_FALSE(static_cast<bool>(DecodeDatagram(frame.substr(0, length))));
  RC_ASSERT_FALSE(static_cast<bool>(DecodeDatagram(frame + "x")));
}

TEST_F(wire_test, DecodeDatagram_WhenInputIsRandomOrMutated_IsRefusedOrRoundTrips) {
  int accepted = 0;
  Fuzz(MakeFrame, [&](const std::string& input) {
    const auto decoded = DecodeDatagram(input);
    if (decoded) {
      ++accepted;
      const auto again = DecodeDatagram(EncodeFrame(decoded.value()));
      ASSERT_TRUE(again);
      ASSERT_EQ(again.value(), decoded.value());
    } else {
      ASSERT_EQ(decoded.error().code, error_code::kProtocol);
    }
  });
  // Most mutated strings and numbers are valid; a lower count means that the mutations are too strong.
  EXPECT_GT(accepted, 1'000);
}

TEST_F(wire_test, DecodeFrameHeader_WhenInputIsRandomOrMutated_IsRefusedOrWithinLimits) {
  const auto valid = [](std::mt19937_64& random) { return MakeFrame(random).substr(0, kFrameHeaderBytes); };
  Fuzz(valid, [](const std::string& input) {
    const auto header = DecodeFrameHeader(input);
    if (header) {
      ASSERT_EQ(header.value().version, kProtocolVersion);
      ASSERT_LT(header.value().type, std::variant_size_v<message>);
      ASSERT_LE(header.value().length, kMaxFrameBytes);
    }
  });
}

TEST_F(wire_test, DecodeFrameBody_WhenInputIsRandomOrMutated_DoesNotCrash) {
  std::mt19937_64 types(kSeed);
  const auto valid = [](std::mt19937_64& random) { return MakeFrame(random).substr(kFrameHeaderBytes); };
  Fuzz(valid, [&](const std::string& input) {
    // Type numbers beyond the last one must be rejected too.
    const auto type = static_cast<std::uint16_t>(types() % (std::variant_size_v<message> + 2));
    const frame_header header{kProtocolVersion, type, static_cast<std::uint32_t>(input.size())};
    const auto decoded = DecodeFrameBody(header, input);
    if (!decoded) {
      ASSERT_EQ(decoded.error().code, error_code::kProtocol);
    }
  });
}

TEST_F(wire_test, DecodeFrameBody_WhenEnumeratorIsUnknown_IsRefused) {
  reserve_slot reserve;
  reserve.role = static_cast<slot_role>(200);
  slot_refused refused;
  refused.reason = static_cast<refusal_reason>(7);
  prefill_progress progress;
  progress.state = static_cast<work_state>(4);
  tokens stream;
  stream.state = static_cast<work_state>(99);
  service_answer answer;
  answer.outcome = static_cast<outcome_kind>(3);
  attempt_status status;
  status.phase = static_cast<attempt_phase>(5);
  claim_operation operation;
  operation.kind = static_cast<claim_operation_kind>(4);
  claim_result written;
  written.kind = static_cast<claim_result_kind>(6);
  const std::vector<message> all = {slot_open{static_cast<slot_role>(3), 0, 0},
                                    reserve,
                                    refused,
                                    progress,
                                    stream,
                                    answer,
                                    status,
                                    claim_batch{1, {operation}},
                                    claim_results{1, {written}}};
  for (const message& value : all) {
    EXPECT_FALSE(DecodeDatagram(EncodeFrame(value))) << MessageName(value);
  }
  written = claim_result{};
  written.current.phase = static_cast<claim_phase>(2);
  EXPECT_FALSE(DecodeDatagram(EncodeFrame(claim_results{1, {written}})));
}

TEST_F(wire_test, DecodeFrameBody_WhenSizeIsAnnouncedTooLarge_AllocatesNothing) {
  // Byte order, revision, then a vector with a size of 2^60.
  std::string body(1, '\1');
  body += std::string(8, '\0');
  body += std::string("\0\0\0\0\0\0\0\x10", 8);
  const message snapshot = config_snapshot{};
  const frame_header header{kProtocolVersion, static_cast<std::uint16_t>(snapshot.index()),
                            static_cast<std::uint32_t>(body.size())};
  EXPECT_FALSE(DecodeFrameBody(header, body));
}

TEST_F(wire_test, ParseSettings_WhenInputIsRandomOrMutated_DoesNotCrash) {
  const auto valid = [](std::mt19937_64&) {
    return std::string("; text\n[process]\nname = r1\nzone = sofia-a\n[peers]\nrouters = 127.0.0.1:1, 127.0.0.1:2\n");
  };
  Fuzz(valid, [](const std::string& input) {
    const settings_file file = ParseSettings("fuzz.ini", input);
    settings_binder bind(file);
    std::string name;
    std::vector<host_port> routers;
    std::int64_t number = 0;
    bind.Text("process", "name", name, presence::kRequired);
    bind.AddressList("peers", "routers", routers);
    bind.Number("process", "zone", number, 0, 10);
    const finding_list findings = bind.Finish();
    for (const finding& item : findings) {
      ASSERT_FALSE(item.place.empty());
      ASSERT_FALSE(item.message.empty());
    }
  });
}

TEST_F(wire_test, ParseHostPort_WhenInputIsRandomOrMutated_IsRefusedOrRoundTrips) {
  const auto valid = [](std::mt19937_64& random) {
    return host_port{"127.0.0.1", static_cast<std::uint16_t>(random())}.Text();
  };
  Fuzz(valid, [](const std::string& input) {
    const auto address = ParseHostPort(input);
    if (address) {
      const auto again = ParseHostPort(address.value().Text());
      ASSERT_TRUE(again) << input;
      ASSERT_EQ(again.value(), address.value());
    }
  });
}

TEST_F(wire_test, ParseTraceparent_WhenInputIsRandomOrMutated_IsRefusedOrRoundTrips) {
  const auto valid = [](std::mt19937_64&) {
    return std::string("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
  };
  Fuzz(valid, [](const std::string& input) {
    const auto context = ParseTraceparent(input);
    if (context) {
      const auto again = ParseTraceparent(FormatTraceparent(context.value()));
      ASSERT_TRUE(again);
      ASSERT_EQ(again.value(), context.value());
    }
  });
}

// Valid records of both schema versions.
std::string MakeRecord(std::mt19937_64& random) {
  static const std::vector<std::string> samples = {
      R"({"kind":"pool","name":"p","schema":2,"version":1,"type":"model","targets":{"first_token_ms":1300}})",
      R"({"kind":"pool","name":"s","schema":1,"type":"service","path_prefix":"/kurs","idempotent_paths":["/kurs/a"]})",
      R"({"kind":"model","name":"m","schema":2,"pool":"p","versions":["1","2"]})",
      R"({"kind":"adapter","name":"a","schema":1,"model":"m"})",
      R"({"kind":"endpoint","name":"e","schema":2,"pool":"p","roles":["prefill"],"address":"127.0.0.1:1","zone":"z"})",
      R"({"kind":"account","name":"c","schema":2,"api_key_sha256":"00","limits":{"tokens_per_second":5}})"};
  return samples[random() % samples.size()];
}

TEST_F(wire_test, ParseRecord_WhenInputIsRandomOrMutated_IsRefusedWithFindings) {
  Fuzz(MakeRecord, [](const std::string& input) {
    finding_list findings;
    const auto parsed = ParseRecord(input, findings);
    ASSERT_EQ(static_cast<bool>(parsed), findings.empty()) << input;
  });
}

TEST_F(wire_test, ConvertRecord_WhenInputIsRandomOrMutated_DoesNotCrash) {
  int schema = kOldestSchema;
  Fuzz(MakeRecord, [&](const std::string& input) {
    schema = schema == kOldestSchema ? kNewestSchema : kOldestSchema;
    (void)ConvertRecord(input, schema);
    (void)RecordKey(input);
  });
}

}  // namespace
}  // namespace persimmon
