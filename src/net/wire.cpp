#include "net/wire.h"

#include <fmt/format.h>

#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <sstream>
#include <type_traits>

namespace persimmon::detail {

// Input archive for the format of cereal's portable binary archive. cereal's own input archive allocates a string or
// vector of the encoded size before it reads the elements. This one first compares the size with the remaining input,
// so that a short malformed input cannot make the process allocate gigabytes.
class frame_reader : public cereal::InputArchive<frame_reader, cereal::AllowEmptyClassElision> {
 public:
  explicit frame_reader(std::string_view bytes)
      : cereal::InputArchive<frame_reader, cereal::AllowEmptyClassElision>(this), remaining_(bytes) {
    std::uint8_t byte_order = 0;
    ReadBytes(&byte_order, sizeof(byte_order));
    if (byte_order != kLittleEndian) {
      throw cereal::Exception("unsupported byte order");
    }
  }

  void ReadBytes(void* target, std::size_t size) {
    if (size > remaining_.size()) {
      throw cereal::Exception("input is truncated");
    }
    if (size != 0) {
      std::memcpy(target, remaining_.data(), size);
    }
    remaining_.remove_prefix(size);
  }

  // Rejects counts that the input cannot hold; each element takes at least one byte.
  void CheckElementCount(std::uint64_t count) const {
    if (count > remaining_.size()) {
      throw cereal::Exception("element count exceeds the input size");
    }
  }

  std::size_t Remaining() const { return remaining_.size(); }

 private:
  static constexpr std::uint8_t kLittleEndian = 1;

  std::string_view remaining_;
};

template <class number>
std::enable_if_t<std::is_arithmetic_v<number>> CEREAL_LOAD_FUNCTION_NAME(frame_reader& ar, number& value) {
  if constexpr (std::is_same_v<number, bool>) {
    std::uint8_t byte = 0;
    ar.ReadBytes(&byte, sizeof(byte));
    value = byte != 0;
  } else {
    ar.ReadBytes(&value, sizeof(value));
  }
}

template <class pair>
void CEREAL_LOAD_FUNCTION_NAME(frame_reader& ar, cereal::NameValuePair<pair>& value) {
  ar(value.value);
}

template <class size>
void CEREAL_LOAD_FUNCTION_NAME(frame_reader& ar, cereal::SizeTag<size>& tag) {
  std::uint64_t count = 0;
  ar.ReadBytes(&count, sizeof(count));
  ar.CheckElementCount(count);
  tag.size = static_cast<std::decay_t<size>>(count);
}

template <class data>
void CEREAL_LOAD_FUNCTION_NAME(frame_reader& ar, cereal::BinaryData<data>& block) {
  ar.ReadBytes(block.data, static_cast<std::size_t>(block.size));
}

}  // namespace persimmon::detail

// Declares the matching output archive to cereal.
template <>
struct cereal::traits::detail::get_output_from_input<persimmon::detail::frame_reader> {
  using type = cereal::PortableBinaryOutputArchive;
};

namespace persimmon {
namespace {

void AppendBigEndian(std::string& out, std::uint64_t number, int byte_count) {
  for (int i = byte_count - 1; i >= 0; --i) {
    out.push_back(static_cast<char>((number >> (8 * i)) & 0xffU));
  }
}

std::uint64_t ReadBigEndian(std::string_view bytes, std::size_t offset, int count) {
  std::uint64_t number = 0;
  for (int i = 0; i < count; ++i) {
    number = (number << 8U) | static_cast<unsigned char>(bytes[offset + static_cast<std::size_t>(i)]);
  }
  return number;
}

// Last enumerator of each enumeration that messages contain.
constexpr slot_role LastValue(slot_role) { return slot_role::kService; }
constexpr refusal_reason LastValue(refusal_reason) { return refusal_reason::kUnknownModel; }
constexpr work_state LastValue(work_state) { return work_state::kCancelled; }
constexpr outcome_kind LastValue(outcome_kind) { return outcome_kind::kMayHaveRun; }
constexpr attempt_phase LastValue(attempt_phase) { return attempt_phase::kWrongIncarnation; }
constexpr claim_operation_kind LastValue(claim_operation_kind) { return claim_operation_kind::kRead; }
constexpr claim_phase LastValue(claim_phase) { return claim_phase::kDone; }
constexpr permit_verdict LastValue(permit_verdict) { return permit_verdict::kNotHome; }
constexpr claim_result_kind LastValue(claim_result_kind) { return claim_result_kind::kStoreUnavailable; }

// Has the interface of an archive, and checks that all enumerations of a message have a valid value. Code that handles
// messages relies on exhaustive switches over these enumerations.
class enumerator_validator {
 public:
  template <class... fields>
  void operator()(fields&... all) {
    (Check(all), ...);
  }

  bool IsValid() const { return valid_; }

 private:
  template <class field>
  void Check(field& value) {
    if constexpr (std::is_enum_v<field>) {
      valid_ = valid_ && value <= LastValue(field{});
    } else if constexpr (requires { value.serialize(*this); }) {
      value.serialize(*this);
    } else if constexpr (requires { value.front().serialize(*this); }) {
      for (auto& element : value) {
        element.serialize(*this);
      }
    }
  }

  bool valid_ = true;
};

template <std::size_t index = 0>
message MakeMessage(std::size_t type) {
  if constexpr (index + 1 < std::variant_size_v<message>) {
    if (type != index) {
      return MakeMessage<index + 1>(type);
    }
  }
  return message(std::in_place_index<index>);
}

constexpr std::array<const char*, std::variant_size_v<message>> kMessageNames = {"hello",
                                                                                 "heartbeat",
                                                                                 "slot_open",
                                                                                 "reserve_slot",
                                                                                 "slot_granted",
                                                                                 "slot_refused",
                                                                                 "start_prefill",
                                                                                 "prefill_progress",
                                                                                 "start_decode",
                                                                                 "tokens",
                                                                                 "resume_stream",
                                                                                 "call_service",
                                                                                 "service_answer",
                                                                                 "cancel",
                                                                                 "attempt_status",
                                                                                 "query_attempt",
                                                                                 "load_report",
                                                                                 "fetch_config",
                                                                                 "config_snapshot",
                                                                                 "lend_tokens",
                                                                                 "tokens_lent",
                                                                                 "claim_batch",
                                                                                 "claim_results",
                                                                                 "router_state",
                                                                                 "hold_stream_origins",
                                                                                 "stream_origins_held",
                                                                                 "find_stream_origin",
                                                                                 "stream_origin_found",
                                                                                 "part_evidence_list",
                                                                                 "endpoint_limit_list",
                                                                                 "ask_permit",
                                                                                 "permit_answer",
                                                                                 "return_tokens",
                                                                                 "prompt_prefilled",
                                                                                 "find_versions",
                                                                                 "versions_known",
                                                                                 "endpoint_use_list",
                                                                                 "ask_versions",
                                                                                 "versions_answer",
                                                                                 "ask_records",
                                                                                 "records_confirmed"};

}  // namespace

const char* RoleName(slot_role role) {
  switch (role) {
    case slot_role::kPrefill:
      return "prefill";
    case slot_role::kDecode:
      return "decode";
    case slot_role::kService:
      return "service";
  }
  return "unknown";
}

const char* RefusalName(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kBusy:
      return "busy";
    case refusal_reason::kLeaving:
      return "leaving";
    case refusal_reason::kNotReady:
      return "not_ready";
    case refusal_reason::kSuspectRunning:
      return "suspect_running";
    case refusal_reason::kWrongRole:
      return "wrong_role";
    case refusal_reason::kDuplicate:
      return "duplicate";
    case refusal_reason::kUnknownModel:
      return "unknown_model";
  }
  return "unknown";
}

const char* MessageName(const message& value) { return kMessageNames[value.index()]; }

std::string EncodeFrame(const message& value) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    std::visit([&archive](const auto& content) { archive(content); }, value);
  }
  const std::string body = std::move(stream).str();
  std::string frame;
  frame.reserve(kFrameHeaderBytes + body.size());
  AppendBigEndian(frame, kFrameMagic, 4);
  AppendBigEndian(frame, kProtocolVersion, 2);
  AppendBigEndian(frame, value.index(), 2);
  AppendBigEndian(frame, body.size(), 4);
  frame += body;
  return frame;
}

result<frame_header> DecodeFrameHeader(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes) {
    return error{error_code::kProtocol, "frame header is truncated"};
  }
  if (ReadBigEndian(bytes, 0, 4) != kFrameMagic) {
    return error{error_code::kProtocol, "frame has a wrong magic number"};
  }
  frame_header header;
  header.version = static_cast<std::uint16_t>(ReadBigEndian(bytes, 4, 2));
  header.type = static_cast<std::uint16_t>(ReadBigEndian(bytes, 6, 2));
  header.length = static_cast<std::uint32_t>(ReadBigEndian(bytes, 8, 4));
  if (header.version != kProtocolVersion) {
    return error{error_code::kProtocol, fmt::format("unsupported protocol version {}", header.version)};
  }
  if (header.type >= std::variant_size_v<message>) {
    return error{error_code::kProtocol, fmt::format("unknown message type {}", header.type)};
  }
  if (header.length > kMaxFrameBytes) {
    return error{error_code::kProtocol, fmt::format("frame of {} bytes exceeds the limit", header.length)};
  }
  return header;
}

result<message> DecodeFrameBody(const frame_header& header, std::string_view body) {
  if (body.size() != header.length) {
    return error{error_code::kProtocol, "frame body does not have the length in its header"};
  }
  if (header.type >= std::variant_size_v<message>) {
    return error{error_code::kProtocol, fmt::format("unknown message type {}", header.type)};
  }
  message value = MakeMessage(header.type);
  std::size_t remaining = 0;
  try {
    detail::frame_reader archive(body);
    std::visit([&archive](auto& content) { archive(content); }, value);
    remaining = archive.Remaining();
  } catch (const std::exception&) {
    return error{error_code::kProtocol, fmt::format("malformed body of a {} message", kMessageNames[header.type])};
  }
  enumerator_validator validator;
  std::visit([&validator](auto& content) { content.serialize(validator); }, value);
  if (!validator.IsValid()) {
    return error{error_code::kProtocol,
                 fmt::format("invalid enumerator in the body of a {} message", kMessageNames[header.type])};
  }
  if (remaining != 0) {
    return error{error_code::kProtocol,
                 fmt::format("trailing bytes in the body of a {} message", kMessageNames[header.type])};
  }
  return value;
}

result<message> DecodeDatagram(std::string_view bytes) {
  auto header = DecodeFrameHeader(bytes);
  if (!header) {
    return header.error();
  }
  return DecodeFrameBody(header.value(), bytes.substr(kFrameHeaderBytes));
}

}  // namespace persimmon
