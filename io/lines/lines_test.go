package lines

import (
	"bytes"
	"context"
	"fmt"
	"testing"
)

// stuck is a writer whose reader stands still until open is closed.
type stuck struct {
	open chan struct{}
	buf  bytes.Buffer
}

func (st *stuck) Write(line []byte) (int, error) {
	<-st.open
	return st.buf.Write(line)
}

// Guards against a log that holds up decisions while its reader stands still,
// and against lines that are dropped without a count.
func TestWriteDoesNotWaitForTheReader(t *testing.T) {
	st := &stuck{open: make(chan struct{})}
	wr, stop := New(st)
	const lines = 3 * capacity
	for i := range lines {
		if num, err := fmt.Fprintf(wr, "line %d\n", i); err != nil || num == 0 {
			t.Fatalf("write of line %d: %d, %v", i, num, err)
		}
	}
	close(st.open)
	stop(context.Background())
	written := bytes.Count(st.buf.Bytes(), []byte("\n"))
	if got := int64(written) + wr.Dropped(); got != lines {
		t.Errorf("%d written and %d dropped, want %d together", written, wr.Dropped(), lines)
	}
	if written < capacity {
		t.Errorf("%d lines written, want at least %d", written, capacity)
	}
}

// Guards against a clean-up that waits for good for a reader that stands still.
func TestStopEndsWithItsContext(t *testing.T) {
	st := &stuck{open: make(chan struct{})}
	defer close(st.open)
	wr, stop := New(st)
	if _, err := wr.Write([]byte("line\n")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	stop(ctx)
}
