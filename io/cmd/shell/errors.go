package shell

import (
	"cmp"
	"strconv"

	"github.com/juju/errors"

	"guavarail/io/client"
	"guavarail/io/config"
	"guavarail/io/rest"
)

// Exit codes of all commands: done, failed, invalid arguments, rejected by the system,
// and no usable answer or a VM that is not ready.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRejected    = 3
	ExitUnreachable = 4
)

// UsageError reports invalid arguments.
type UsageError struct {
	problem string
	advice  string
}

// NewUsageError returns an error about the arguments. advice says what the operator
// should do.
func NewUsageError(problem, advice string) *UsageError {
	return &UsageError{problem: problem, advice: advice}
}

// Error describes the problem.
func (err *UsageError) Error() string { return err.problem }

// Advice returns what the operator should do next.
func (err *UsageError) Advice() string { return err.advice }

// FileError reports a file that a command cannot use.
type FileError struct {
	file  string
	cause error
}

// NewFileError returns an error about a file and why it cannot be used.
func NewFileError(file string, cause error) *FileError { return &FileError{file: file, cause: cause} }

// Error describes the failure.
func (err *FileError) Error() string { return "read " + err.file + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *FileError) Unwrap() error { return err.cause }

// Advice returns what the operator should do next.
func (*FileError) Advice() string { return "correct the file or give another one" }

// ResendError reports a command that may have been carried out, because its answer
// was lost.
type ResendError struct {
	cause  error
	advice string
}

// NewResendError returns an error whose advice says how to send the command again.
func NewResendError(cause error, advice string) *ResendError {
	return &ResendError{cause: cause, advice: advice}
}

// Error describes the failure.
func (err *ResendError) Error() string { return err.cause.Error() }

// Unwrap returns the cause.
func (err *ResendError) Unwrap() error { return err.cause }

// Advice returns what the operator should do next.
func (err *ResendError) Advice() string { return err.advice }

// withResendAdvice turns err into a ResendError if the command may have been
// carried out. The advice repeats the identity of the command, since only a resend
// with the same identity is carried out at most once.
func withResendAdvice(err error, he rest.Header) error {
	var une *client.UnreachableError
	if !errors.As(err, &une) || !une.MaybeDone() {
		return err
	}
	return NewResendError(err, "run the same command again with --command "+he.Command+" --number "+Int(he.Number)+
		" --operator "+strconv.Quote(he.Operator)+"; it is carried out once and you get its first answer")
}

// adviser is an error with its own advice to the operator.
type adviser interface {
	error
	Advice() string
}

// advice returns the advice to the operator after a failure: that of the error, of the
// API, or a general one for the type of the failure.
func advice(err error) string {
	var adv adviser
	if errors.As(err, &adv) {
		return adv.Advice()
	}
	var ape *client.APIError
	if errors.As(err, &ape) {
		return cmp.Or(ape.Body().Advice, adviceForType(ape.Type()))
	}
	var une *client.UnreachableError
	var adr *client.AddressError
	var fae *config.FaultsError
	switch {
	case errors.As(err, &une):
		return "check --api and that a VM is running there, or name VMs of another data centre"
	case errors.As(err, &adr):
		return "give --api IP:port, or set GUAVARAIL_API"
	case errors.As(err, &fae):
		return "correct these lines and run guavarail settings check again"
	}
	return "run the command with --help"
}

// adviceForType returns the advice for a failure type of the API.
func adviceForType(kind string) string {
	switch kind {
	case rest.TypeNoMajority:
		return "reading works; run guavarail status to see which VMs are unreachable, and repeat the command once the majority is back"
	case rest.TypeNotReady:
		return "wait until the VM is ready, or name another one with --api"
	case rest.TypeNotFound:
		return "list what exists with the list command"
	case rest.TypeInvalid:
		return "correct the fields and run the command again"
	case rest.TypeConflict:
		return "choose another name"
	case rest.TypeInternal:
		return "look at the log of the VM that answered"
	}
	return "run guavarail status to see the configuration in effect"
}

// exitCode returns the exit code for the outcome of a command.
func exitCode(err error) int {
	var use *UsageError
	var adr *client.AddressError
	var ape *client.APIError
	var une *client.UnreachableError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &use), errors.As(err, &adr):
		return ExitUsage
	case errors.As(err, &ape) && ape.Rejected():
		return ExitRejected
	case errors.As(err, &ape) && ape.Type() == rest.TypeNotReady, errors.As(err, &une):
		return ExitUnreachable
	}
	return ExitFailed
}
