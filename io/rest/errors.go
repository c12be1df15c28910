package rest

import "net/http"

// Failure is the body of every response with a status of 400 or more.
type Failure struct {
	Error Error `json:"error"`
}

// Error describes why a call failed.
type Error struct {
	// Type is one of the types below, or the reason of a rejected operator
	// command.
	Type string `json:"type"`
	// Message says what happened, and Advice what to do.
	Message string `json:"message"`
	Advice  string `json:"advice,omitempty"`
	// Command is the identity of a rejected operator command.
	Command string `json:"command,omitempty"`
	// Holder is the change that holds the number of a rejected command.
	Holder *Change `json:"holder,omitempty"`
	// InEffect is the configuration in effect at the rejection.
	InEffect *InEffect `json:"inEffect,omitempty"`
	// Faults lists every field that is not accepted.
	Faults []Fault `json:"faults,omitempty"`
	// Leader is the VM to ask instead, when it is known.
	Leader string `json:"leader,omitempty"`
}

// Fault is one field that is not accepted.
type Fault struct {
	Field   string `json:"field"`
	Allowed string `json:"allowed"`
}

// InEffect is the configuration in effect.
type InEffect struct {
	Number uint64 `json:"number"`
	Preset string `json:"preset"`
}

// Types of errors other than rejected operator commands.
const (
	// TypeInvalid: the request or a field of it is not accepted.
	TypeInvalid = "invalid"
	// TypeNotFound: the named thing does not exist.
	TypeNotFound = "notFound"
	// TypeConflict: the name is in use with other content.
	TypeConflict = "conflict"
	// TypeNoMajority: the group has no leader that this VM can reach. The
	// command may have been accepted if it was sent before.
	TypeNoMajority = "noMajority"
	// TypeNotReady: the VM has no state yet.
	TypeNotReady = "notReady"
	// TypeUnknown: it is not known whether the command was carried out.
	TypeUnknown = "unknown"
	// TypeInternal: a fault of the system.
	TypeInternal = "internal"
	// TypeMethod: the path does not accept the method.
	TypeMethod = "method"
)

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
