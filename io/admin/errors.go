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

// Redirect is an error of a call that another VM has to answer. Leader returns
// that VM, or "" while none is known. It is the leader of a group, or for a
// ForwardError any VM of the right data centre.
type Redirect interface {
	error
	Leader() model.VMID
}

// ForwardError reports that another VM has to answer the call.
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

// RouteError reports a path that does not exist, or that does not accept the
// method.
type RouteError struct {
	method string
	path   string
	// pathExists reports that the path accepts other methods.
	pathExists bool
}

// Error describes the failure.
func (err *RouteError) Error() string {
	if err.pathExists {
		return err.path + " does not accept " + err.method
	}
	return "the api has no path " + err.path
}

// NotFoundError reports that nothing of a kind, such as a job, has the name.
type NotFoundError struct {
	kind string
	name string
}

// Error describes the failure.
func (err *NotFoundError) Error() string { return "no " + err.kind + " is called " + err.name }

// ConflictError reports that something of the same kind and name, but with other
// content, exists already.
type ConflictError struct {
	kind string
	name string
}

// Error describes the failure.
func (err *ConflictError) Error() string {
	return "a " + err.kind + " called " + err.name + " exists with other content; choose another name"
}

// FaultsError reports the invalid fields of a request.
type FaultsError struct {
	faults []rest.Fault
}

// NewFaultsError returns an error that lists the invalid fields.
func NewFaultsError(fas []rest.Fault) *FaultsError { return &FaultsError{faults: fas} }

// Error describes the failure.
func (err *FaultsError) Error() string {
	out := "request not accepted"
	for _, fa := range err.faults {
		out += "; " + fa.Field + ": use " + fa.Allowed
	}
	return out
}

// NotReadyError reports a VM that has not received the fleet state yet.
type NotReadyError struct{}

// Error describes the failure.
func (err *NotReadyError) Error() string {
	return "this VM does not hold the fleet state yet; ask another VM or try again"
}

// JobMemoryError reports that there is no memory for a job, which was not accepted.
type JobMemoryError struct{}

// Error describes the failure.
func (err *JobMemoryError) Error() string {
	return "there is no memory for the job beside those that were accepted; cancel some or try again later"
}

// writeError writes the answer for err. If err names the VM that can answer, it
// sets forwardTo of the bufferWriter instead.
func writeError(wri http.ResponseWriter, err error) {
	var red Redirect
	if buf, ok := wri.(*bufferWriter); ok && failureType(err) == rest.TypeNoMajority && errors.As(err, &red) && red.Leader() != "" {
		buf.forwardTo = red.Leader()
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

// failure returns the API form of err.
func failure(err error) rest.Failure {
	var rej *fleet.RejectedError
	if errors.As(err, &rej) {
		return rest.NewRejected(rej)
	}
	fai := rest.Failure{Error: rest.Error{Type: failureType(err), Message: err.Error(), Faults: faultsOf(err)}}
	var red Redirect
	if errors.As(err, &red) {
		fai.Error.Leader = string(red.Leader())
	}
	return fai
}

// failureType returns the failure type that the API reports for err.
func failureType(err error) string {
	var rou *RouteError
	switch {
	case errors.As(err, &rou) && rou.pathExists:
		return rest.TypeMethod
	case rou != nil:
		return rest.TypeNotFound
	case hasType[*BodyError](err), faultsOf(err) != nil:
		return rest.TypeInvalid
	case hasType[*NotFoundError](err):
		return rest.TypeNotFound
	case hasType[*ConflictError](err):
		return rest.TypeConflict
	case hasType[*NotReadyError](err), hasType[*JobMemoryError](err):
		return rest.TypeNotReady
	case hasType[*group.UnknownError](err), hasType[*peer.TimeoutError](err), errors.Is(err, context.DeadlineExceeded):
		// Checked before Redirect: an error that wraps the loss of the leader is a
		// Redirect too, but the call may have been carried out.
		return rest.TypeUnknown
	case hasType[Redirect](err), hasType[*peer.UnreachableError](err):
		return rest.TypeNoMajority
	}
	return rest.TypeInternal
}

// hasType reports whether err or an error that it wraps is a T.
func hasType[T any](err error) bool {
	var target T
	return errors.As(err, &target)
}

// faultsOf returns the invalid fields that err reports, or nil.
func faultsOf(err error) []rest.Fault {
	var fas interface{ Faults() []model.Fault }
	var fae *FaultsError
	var que *rest.QueryError
	var pre *model.PresetError
	var job *sched.JobError
	switch {
	case errors.As(err, &fae):
		return fae.faults
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
