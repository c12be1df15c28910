package peer

import (
	"context"
	"errors"
	"testing"

	"google.golang.org/protobuf/types/known/wrapperspb"

	"guavarail/core/model"
)

// Guards against a process that ends because a handler panics on one message, and against
// a request that counts as not carried out though its handler had begun.
func TestPanicOfAHandlerEndsOnlyItsMessage(t *testing.T) {
	var mux Mux
	handled := make(chan string, 1)
	Handle(&mux, func(_ model.VMID, msg *wrapperspb.StringValue) {
		var none []int
		if msg.GetValue() == "odd" {
			none[0]++
		}
		handled <- msg.GetValue()
	})
	HandleRequest(&mux, func(_ context.Context, _ model.VMID, req *wrapperspb.Int64Value) (*wrapperspb.Int64Value, error) {
		return wrapperspb.Int64(100 / req.GetValue()), nil
	})
	hubA, _ := startTwoHubs(t, &Mux{}, &mux)
	hubA.Send("b", wrapperspb.String("odd"))
	hubA.Send("b", wrapperspb.String("sound"))
	if got := <-handled; got != "sound" {
		t.Errorf("message %q handled, want the one after the panic", got)
	}
	_, err := Call[*wrapperspb.Int64Value](t.Context(), hubA, "b", wrapperspb.Int64(0))
	var rem *RemoteError
	var unr *UnreachableError
	if !errors.As(err, &rem) || errors.As(err, &unr) {
		t.Errorf("request whose handler panicked: %v, want a *RemoteError", err)
	}
	ans, err := Call[*wrapperspb.Int64Value](t.Context(), hubA, "b", wrapperspb.Int64(4))
	if err != nil || ans.GetValue() != 25 {
		t.Errorf("request after the panic: %v, %v", ans, err)
	}
}
