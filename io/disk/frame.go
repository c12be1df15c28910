package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header and a payload. The header has the length of the payload,
// the CRC-32C of that length and the CRC-32C of the payload. The length has a
// sum of its own, so that a damaged length is not taken for a record that was
// cut off at the end of the file.
const (
	headerSize = 12
	// maxPayload bounds what a damaged header can ask for.
	maxPayload = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of buf.
func checksum(buf []byte) uint32 { return crc32.Checksum(buf, castagnoli) }

// appendFrame appends the frame of a payload.
func appendFrame(buf, payload []byte) []byte {
	var size [4]byte
	binary.LittleEndian.PutUint32(size[:], uint32(len(payload)))
	buf = append(buf, size[:]...)
	buf = binary.LittleEndian.AppendUint32(buf, checksum(size[:]))
	buf = binary.LittleEndian.AppendUint32(buf, checksum(payload))
	return append(buf, payload...)
}

// readFrame returns the payload of the frame at the start of buf and the rest.
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

// frameAfter reports whether buf has a whole frame at any later position.
func frameAfter(buf []byte) bool {
	for pos := 1; pos+headerSize <= len(buf); pos++ {
		if _, _, ok := readFrame(buf[pos:]); ok {
			return true
		}
	}
	return false
}
