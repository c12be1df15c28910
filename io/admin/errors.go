package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/sched"
	"guavarail/io/group"
	"guavarail/io/peer"
	"guavarail/io/rest"
)

// Redirect is an error that names the VM that can answer. The name is empty
// while no such VM is known.
type Redirect interface {
	error
	Leader() model.VMID
}

// ForwardError asks for a call to be answered by another VM.
type ForwardError struct {
	vm model.VMID
}

// Error describes the failure.
func (err *ForwardError) Error() string { return "the call has to be answered by " + string(err.vm) }

// Leader returns the VM that can answer.
func (err *ForwardError) Leader() model.VMID { return err.vm }

// BodyError reports a request that could not be read.
type BodyError struct {
	cause error
}

// Error describes the failure.
func (err *BodyError) Error() string { return "request not readable: " + err.cause.Error() }

// Unwrap returns the cause.
func (err *BodyError) Unwrap() error { return err.cause }

// RouteError reports a path that the API does not have, or not with the method.
type RouteError struct {
	method string
	path   string
	// known is set when the path accepts other methods.
	known bool
}

// Error describes the failure.
func (err *RouteError) Error() string {
	if err.known {
		return err.path + " does not accept " + err.method
	}
	return "the api has no path " + err.path
}

// NotFoundError reports a name that does not exist.
type NotFoundError struct {
	what string
	name string
}

// Error describes the failure.
func (err *NotFoundError) Error() string { return "no " + err.what + " is called " + err.name }

// ConflictError reports a name that is in use with other content.
type ConflictError struct {
	what string
	name string
}

// Error describes the failure.
func (err *ConflictError) Error() string {
	return "a " + err.what + " called " + err.name + " exists with other content; choose another name"
}

// FaultsError reports fields that are not accepted.
type FaultsError struct {
	faults []rest.Fault
}

// NewFaultsError returns an error that lists the fields.
func NewFaultsError(fas []rest.Fault) *FaultsError { return &FaultsError{faults: fas} }

// Error describes the failure.
func (err *FaultsError) Error() string {
	out := "request not accepted"
	for _, fa := range err.faults {
		out += "; " + fa.Field + ": use " + fa.Allowed
	}
	return out
}

// NotReadyError reports a VM that does not hold the fleet state yet.
type NotReadyError struct{}

// Error describes the failure.
func (err *NotReadyError) Error() string {
	return "this VM does not hold the fleet state yet; ask another VM or try again"
}

// writeError reports err, or notes on a bufferWriter that another VM has to
// answer.
func writeError(wri http.ResponseWriter, err error) {
	var els Redirect
	if buf, ok := wri.(*bufferWriter); ok && typeOf(err) == rest.TypeNoMajority && errors.As(err, &els) && els.Leader() != "" {
		buf.elsewhere = els.Leader()
		return
	}
	rep := errorReply(err)
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(rep.Status)
	_, _ = wri.Write(rep.Body)
}

// errorReply returns the answer for a call that failed.
func errorReply(err error) Reply {
	fai := failure(err)
	body, _ := json.Marshal(fai)
	return Reply{Status: rest.StatusCode(fai.Error.Type), Body: body}
}

func failure(err error) rest.Failure {
	var rej *fleet.RejectedError
	if errors.As(err, &rej) {
		return rest.NewRejected(rej)
	}
	fai := rest.Failure{Error: rest.Error{Type: typeOf(err), Message: err.Error(), Faults: faultsOf(err)}}
	var els Redirect
	if errors.As(err, &els) {
		fai.Error.Leader = string(els.Leader())
	}
	return fai
}

// typeOf returns the type that the API reports for err.
func typeOf(err error) string {
	var rou *RouteError
	switch {
	case errors.As(err, &rou) && rou.known:
		return rest.TypeMethod
	case rou != nil:
		return rest.TypeNotFound
	case matches[*BodyError](err), faultsOf(err) != nil:
		return rest.TypeInvalid
	case matches[*NotFoundError](err):
		return rest.TypeNotFound
	case matches[*ConflictError](err):
		return rest.TypeConflict
	case matches[*NotReadyError](err):
		return rest.TypeNotReady
	case matches[*group.UnknownError](err), matches[*peer.TimeoutError](err), errors.Is(err, context.DeadlineExceeded):
		// Checked before the leader, because an unknown outcome may be caused
		// by a lost leader.
		return rest.TypeUnknown
	case matches[Redirect](err), matches[*peer.UnreachableError](err):
		return rest.TypeNoMajority
	}
	return rest.TypeInternal
}

func matches[T any](err error) bool {
	var target T
	return errors.As(err, &target)
}

// faultsOf returns the fields that err reports, or nil.
func faultsOf(err error) []rest.Fault {
	var fas interface{ Faults() []model.Fault }
	var own *FaultsError
	var que *rest.QueryError
	var pre *model.PresetError
	var job *sched.JobError
	switch {
	case errors.As(err, &own):
		return own.faults
	case errors.As(err, &que):
		return que.Faults()
	case errors.As(err, &pre):
		fas = pre
	case errors.As(err, &job):
		fas = job
	default:
		return nil
	}
	var out []rest.Fault
	for _, fa := range fas.Faults() {
		out = append(out, rest.Fault{Field: fa.Field(), Allowed: fa.Allowed()})
	}
	return out
}
