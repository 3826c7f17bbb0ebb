// Calls zlib. Compression runs on the control thread, which also sends the
// consensus heartbeats, so it is the fastest level.

#include "manifest_codec.h"

#include <array>

#include <zlib.h>

namespace sassafras::jobcontrol {
namespace {

const Bytef* BytesOf(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

std::string Compress(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string bytes(size, '\0');
  // Fails only if the buffer is smaller than compressBound().
  compress2(reinterpret_cast<Bytef*>(bytes.data()), &size, BytesOf(text),
            text.size(), Z_BEST_SPEED);
  bytes.resize(size);
  return bytes;
}

// Returns nullopt unless `bytes` is one whole compressed text of at most
// kMaxUpdateBytes.
std::optional<std::string> Decompress(std::string_view bytes) {
  constexpr size_t kBufferBytes = 64 << 10;
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = const_cast<Bytef*>(BytesOf(bytes));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string text;
  int status = Z_OK;
  std::array<char, kBufferBytes> buf{};
  while (status == Z_OK && text.size() <= kMaxUpdateBytes) {
    stream.next_out = reinterpret_cast<Bytef*>(buf.data());
    stream.avail_out = static_cast<uInt>(buf.size());
    status = inflate(&stream, Z_NO_FLUSH);
    text.append(buf.data(), buf.size() - stream.avail_out);
  }
  const bool is_whole = status == Z_STREAM_END && stream.avail_in == 0;
  inflateEnd(&stream);
  return is_whole && text.size() <= kMaxUpdateBytes
             ? std::optional(std::move(text))
             : std::nullopt;
}

}  // namespace

std::string EncodeUpdate(const jobs::ManifestUpdate& update) {
  return Compress(wire::EncodeCbor(update));
}

std::optional<jobs::ManifestUpdate> DecodeUpdate(std::string_view bytes,
                                                 wire::CodecReason& why) {
  const auto text =
      bytes.size() <= kMaxUpdateBytes ? Decompress(bytes) : std::nullopt;
  if (!text) {
    why.Set(wire::CodecError::kMalformed, "the update isn't compressed data");
    return std::nullopt;
  }
  return wire::DecodeCbor<jobs::ManifestUpdate>(*text, why);
}

uint32_t ChecksumOf(std::string_view bytes) {
  return static_cast<uint32_t>(
      crc32_z(crc32_z(0, nullptr, 0), BytesOf(bytes), bytes.size()));
}

}  // namespace sassafras::jobcontrol
