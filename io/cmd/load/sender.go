package load

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// sender owns one connection and its tally. All senders receive from the same
// channel, which serves waiting receivers in turn, so that all connections stay in
// use.
type sender struct {
	op        Options
	transport http.Transport
	tally     *tally
}

// run sends a request for each arrival until the channel is closed or ctx ends,
// and then posts its tally to tallies.
func (sen *sender) run(ctx context.Context, arrivals <-chan arrival, tallies chan<- *tally) {
	sen.transport.MaxConnsPerHost, sen.transport.DisableCompression = 1, true
	defer func() {
		sen.transport.CloseIdleConnections()
		tallies <- sen.tally
	}()
	for {
		select {
		case arr, ok := <-arrivals:
			if !ok {
				return
			}
			if sen.op.Rate == 0 {
				// Without a rate, the intended time is when the connection is free.
				arr.at = time.Now()
			}
			sen.send(ctx, arr)
		case <-ctx.Done():
			return
		}
	}
}

// send sends one request and counts its outcome. It counts a request whose deadline
// has already passed as unsent.
func (sen *sender) send(ctx context.Context, arr arrival) {
	left := sen.op.Deadline - time.Since(arr.at)
	if left <= 0 {
		sen.tally.add(outcomeUnsent, sen.op.Deadline, false)
		return
	}
	req, err := http.NewRequestWithContext(ctx, sen.op.Method, sen.op.URL, nil)
	if err != nil {
		sen.tally.add(outcomeError, 0, false)
		return
	}
	req.Header["Guavarail-Deadline-Ms"] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	if sen.op.Callers > 0 {
		req.Header["Guavarail-Caller"] = []string{"caller-" + strconv.FormatUint(arr.number%uint64(sen.op.Callers), 10)}
	}
	resp, err := sen.transport.RoundTrip(req)
	if err != nil {
		sen.tally.add(outcomeError, time.Since(arr.at), false)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	took := time.Since(arr.at)
	if err != nil {
		sen.tally.add(outcomeError, took, false)
		return
	}
	outcome := resp.Header.Get("Guavarail-Outcome")
	if outcome == "" {
		outcome = outcomeAnswered
		if resp.StatusCode >= http.StatusInternalServerError {
			outcome = outcomeUnknown
		}
	}
	inTime := outcome == outcomeAnswered && resp.StatusCode < http.StatusInternalServerError && took <= sen.op.Deadline
	sen.tally.add(outcome, took, inTime)
}
