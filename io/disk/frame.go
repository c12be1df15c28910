package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header and a payload. The header has the length of the payload, the
// CRC-32C of that length and the CRC-32C of the payload, as little-endian uint32. The
// length has a checksum of its own, so that a frame with a damaged length is not mistaken
// for one that is torn at the end of the file.
const (
	headerSize = 12
	// maxPayload is the largest payload length that is accepted from a header, in bytes.
	maxPayload = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of buf.
func checksum(buf []byte) uint32 { return crc32.Checksum(buf, castagnoli) }

// appendFrame appends a frame with the given payload to buf.
func appendFrame(buf, payload []byte) []byte {
	var size [4]byte
	binary.LittleEndian.PutUint32(size[:], uint32(len(payload)))
	buf = append(buf, size[:]...)
	buf = binary.LittleEndian.AppendUint32(buf, checksum(size[:]))
	buf = binary.LittleEndian.AppendUint32(buf, checksum(payload))
	return append(buf, payload...)
}

// readFrame returns the payload of the frame at the start of buf and the bytes after
// it. It returns false if that frame is torn or damaged.
func readFrame(buf []byte) (payload, rest []byte, ok bool) {
	if len(buf) < headerSize {
		return nil, buf, false
	}
	size := binary.LittleEndian.Uint32(buf)
	if binary.LittleEndian.Uint32(buf[4:]) != checksum(buf[:4]) || size > maxPayload {
		return nil, buf, false
	}
	end := headerSize + int(size)
	if len(buf) < end || binary.LittleEndian.Uint32(buf[8:]) != checksum(buf[headerSize:end]) {
		return nil, buf, false
	}
	return buf[headerSize:end], buf[end:], true
}

// hasLaterFrame reports whether an intact frame starts at any position of buf after
// the first.
func hasLaterFrame(buf []byte) bool {
	for pos := 1; pos+headerSize <= len(buf); pos++ {
		if _, _, ok := readFrame(buf[pos:]); ok {
			return true
		}
	}
	return false
}
