package rest

import "net/http"

// Failure is the body of every response with a status of 400 or more.
type Failure struct {
	Error Error `json:"error"`
}

// Error describes why a call failed.
type Error struct {
	// Type is one of the Type constants, or the reason why an operator command
	// was rejected.
	Type string `json:"type"`
	// Message describes the failure, and Advice what to do about it.
	Message string `json:"message"`
	Advice  string `json:"advice,omitempty"`
	// Command is the ID of a rejected operator command.
	Command string `json:"command,omitempty"`
	// Holder is the accepted change whose configuration number the rejected command
	// had as well.
	Holder *Change `json:"holder,omitempty"`
	// InEffect is the configuration in effect at the time of the rejection.
	InEffect *InEffect `json:"inEffect,omitempty"`
	// Faults lists every invalid field.
	Faults []Fault `json:"faults,omitempty"`
	// Leader is the VM to which to send the call instead, if known.
	Leader string `json:"leader,omitempty"`
}

// Fault is one invalid field. Allowed describes its valid values.
type Fault struct {
	Field   string `json:"field"`
	Allowed string `json:"allowed"`
}

// InEffect is the configuration in effect: its number and the active preset.
type InEffect struct {
	Number uint64 `json:"number"`
	Preset string `json:"preset"`
}

// Types of errors other than rejected operator commands.
const (
	// TypeInvalid means that the request or one of its fields is invalid.
	TypeInvalid = "invalid"
	// TypeNotFound means that the named object does not exist.
	TypeNotFound = "notFound"
	// TypeConflict means that the name is in use with other content.
	TypeConflict = "conflict"
	// TypeNoMajority means that the replication group has no leader that this VM
	// can reach. If the same command was sent before, it may have been accepted
	// then.
	TypeNoMajority = "noMajority"
	// TypeNotReady means that the VM has no state yet.
	TypeNotReady = "notReady"
	// TypeUnknown means that the command may or may not have been carried out.
	TypeUnknown = "unknown"
	// TypeInternal means an internal error.
	TypeInternal = "internal"
	// TypeMethod means that the path does not accept the HTTP method.
	TypeMethod = "method"
)

// statusOf maps the Type constants to HTTP statuses.
var statusOf = map[string]int{
	TypeInvalid:    http.StatusBadRequest,
	TypeNotFound:   http.StatusNotFound,
	TypeConflict:   http.StatusConflict,
	TypeNoMajority: http.StatusServiceUnavailable,
	TypeNotReady:   http.StatusServiceUnavailable,
	TypeUnknown:    http.StatusGatewayTimeout,
	TypeInternal:   http.StatusInternalServerError,
	TypeMethod:     http.StatusMethodNotAllowed,
}

// StatusCode returns the HTTP status of an error type. The reasons of rejected
// operator commands are conflicts.
func StatusCode(kind string) int {
	if status, ok := statusOf[kind]; ok {
		return status
	}
	return http.StatusConflict
}
