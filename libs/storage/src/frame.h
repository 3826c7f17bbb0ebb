// Frame format shared by the journal's segment, snapshot and identity files.
// Integers are little-endian:
//   4 bytes  length of the payload
//   4 bytes  CRC-32C of the length field
//   4 bytes  CRC-32C of the payload
//   payload: one byte for the frame kind, then the body (CBOR or raw bytes)
// The length field has its own checksum so that a damaged length is not
// mistaken for a frame that is incomplete at the end of the file.

#ifndef STORAGE_FRAME_H_
#define STORAGE_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sassafras::storage {

// First byte of a frame's payload, as stored on disk.
enum class FrameKind : char {
  kHardState = 'H',      // CBOR of consensus::HardState
  kRecord = 'R',         // CBOR of consensus::Record
  kTruncate = 'T',       // CBOR of the first index that is removed
  kIdentity = 'I',       // replica id as text
  kSnapshotMeta = 'M',   // CBOR of the snapshot header
  kSnapshotBytes = 'B',  // next part of the snapshot, raw bytes
};

// Length field and both checksums.
inline constexpr size_t kFrameHeaderBytes = 12;

// Appends one encoded frame to `out`.
void AppendFrame(FrameKind kind, std::string_view body, std::string& out);

// Iterates over the frames in the contents of a whole file. `bytes` must
// outlive the reader.
class FrameReader {
 public:
  enum class Status {
    kFrame,    // kind() and body() are set
    kEnd,      // end of file
    kTorn,     // the last frame is incomplete; offset() is its start
    kDamaged,  // a checksum or length is wrong; offset() is the frame's start
  };

  explicit FrameReader(std::string_view bytes) : bytes_(bytes) {}

  // Reads the next frame. After any result but kFrame the reader doesn't
  // advance.
  Status Next();
  FrameKind kind() const { return kind_; }
  std::string_view body() const { return body_; }
  // Returns the start of the frame that the last Next() read, in bytes from the
  // start of the file.
  size_t offset() const { return offset_; }

 private:
  // Returns whether the file ends with zeroed sectors that begin inside the
  // current frame of `frame_bytes` bytes.
  bool IsTailUnwritten(size_t frame_bytes) const;

  std::string_view bytes_;
  size_t offset_ = 0;       // start of the current frame
  size_t next_offset_ = 0;  // start of the frame that Next() reads
  FrameKind kind_{};
  std::string_view body_;
};

}  // namespace sassafras::storage

#endif  // STORAGE_FRAME_H_
