package buffer

import "bytes"

// Memory of the parts of a JSON document once they are decoded into typed values, which
// includes the values that are built of them and what growing slices leave behind.
const (
	objectBytes  = 1 << 10
	arrayBytes   = 256
	elementBytes = 48
	// textCopies is the number of copies of the text of a document.
	textCopies = 2
)

// DecodedBytes estimates the memory that a JSON document takes once it is decoded. A short
// one can take far more than its text, because an empty object has 2 bytes.
func DecodedBytes(doc []byte) int64 {
	objects, arrays, elements := bytes.Count(doc, []byte{'{'}), bytes.Count(doc, []byte{'['}), bytes.Count(doc, []byte{','})
	return objectBytes*int64(objects) + arrayBytes*int64(arrays) + elementBytes*int64(elements) + textCopies*int64(len(doc))
}
