// Package wire holds the protobuf messages that VMs exchange and store, and converts
// them to and from the types of core. Functions named XToProto return the message for
// a value of core, and XFromProto the reverse. Some messages and fields have another
// name than the value of core that they encode, such as born for the start time of an
// incarnation; the functions show the pairs. Fields of enumeration types of core, such
// as kind and state, hold the numbers of core.
package wire

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative *.proto"

// Codec encodes values of one type to bytes and decodes them. A group uses codecs for the
// commands and the snapshots that it replicates and stores.
type Codec[T any] interface {
	Encode(val T) ([]byte, error)
	Decode(buf []byte) (T, error)
}

// UnknownOperationError reports an operation that this version does not know. A replica of
// a later version may apply it, so that one of this version must not go on without it.
type UnknownOperationError struct {
	// group is the kind of group whose log has the operation.
	group string
}

// Error describes the failure.
func (err *UnknownOperationError) Error() string {
	return "operation of group " + err.group + " is unknown to this version, upgrade it"
}
