// Encodes and decodes frames. Decoding distinguishes an incomplete last frame,
// as a crash leaves it, from damage.

#include "frame.h"

#include <algorithm>

#include <boost/crc.hpp>

namespace sassafras::storage {

namespace {

// The disk writes a sector of this size completely or not at all.
constexpr size_t kSectorBytes = 512;

uint32_t Crc32c(std::string_view bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

void AppendUint32(uint32_t value, std::string& out) {
  for (int shift = 0; shift < 32; shift += 8) {
    out.push_back(static_cast<char>((value >> shift) & 0xFF));
  }
}

uint32_t ReadUint32(std::string_view bytes) {
  uint32_t value = 0;
  for (size_t i = 0; i < 4; ++i) {
    value |= static_cast<uint32_t>(static_cast<uint8_t>(bytes[i])) << (8 * i);
  }
  return value;
}

}  // namespace

void AppendFrame(FrameKind kind, std::string_view body, std::string& out) {
  std::string payload;
  payload.reserve(body.size() + 1);
  payload.push_back(static_cast<char>(kind));
  payload.append(body);
  std::string length;
  AppendUint32(static_cast<uint32_t>(payload.size()), length);
  out.append(length);
  AppendUint32(Crc32c(length), out);
  AppendUint32(Crc32c(payload), out);
  out.append(payload);
}

FrameReader::Status FrameReader::Next() {
  offset_ = next_offset_;
  const std::string_view rest = bytes_.substr(offset_);
  if (rest.empty()) {
    return Status::kEnd;
  }
  if (rest.size() < kFrameHeaderBytes) {
    return Status::kTorn;
  }
  if (Crc32c(rest.substr(0, 4)) != ReadUint32(rest.substr(4, 4))) {
    return IsTailUnwritten(rest.size()) ? Status::kTorn : Status::kDamaged;
  }
  const size_t length = ReadUint32(rest);
  if (rest.size() - kFrameHeaderBytes < length) {
    return Status::kTorn;
  }
  const std::string_view payload = rest.substr(kFrameHeaderBytes, length);
  if (length == 0 || Crc32c(payload) != ReadUint32(rest.substr(8, 4))) {
    return IsTailUnwritten(kFrameHeaderBytes + length) ? Status::kTorn
                                                       : Status::kDamaged;
  }
  next_offset_ = offset_ + kFrameHeaderBytes + length;
  kind_ = static_cast<FrameKind>(payload.front());
  body_ = payload.substr(1);
  return Status::kFrame;
}

// After a power loss the file may have its new size although its last sectors
// were never written. These read as whole sectors of zeros, from inside the
// incomplete frame to the end of the file.
bool FrameReader::IsTailUnwritten(size_t frame_bytes) const {
  const size_t last_nonzero = bytes_.find_last_not_of('\0');
  const size_t zeros_begin =
      last_nonzero == std::string_view::npos ? 0 : last_nonzero + 1;
  const size_t first_zero_sector =
      (zeros_begin + kSectorBytes - 1) / kSectorBytes * kSectorBytes;
  return first_zero_sector < bytes_.size() &&
         first_zero_sector < offset_ + frame_bytes;
}

}  // namespace sassafras::storage
