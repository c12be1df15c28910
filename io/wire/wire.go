// Package wire holds the protobuf messages between VMs and on disk, and the
// codecs that translate them to and from the types of core.
package wire

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative *.proto"

// Codec translates values of one type to and from bytes.
type Codec[T any] interface {
	Encode(val T) ([]byte, error)
	Decode(buf []byte) (T, error)
}
