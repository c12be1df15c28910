package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"

	"guavarail/io/rest"
)

// maxAnswerBytes bounds the size of an answer. A list of 17,000 workers has about
// 6 MB.
const maxAnswerBytes = 64 << 20

func get[T any](ctx context.Context, cl *Client, target string) (T, error) {
	return call[T](ctx, cl, http.MethodGet, target, nil)
}

func post[T any](ctx context.Context, cl *Client, target string, body any) (T, error) {
	buf, err := json.Marshal(body)
	if err != nil {
		var zero T
		return zero, errors.Annotate(err, "encode request")
	}
	return call[T](ctx, cl, http.MethodPost, target, buf)
}

// call sends the same request to one address after the other until one returns a
// result or a final failure, or until all rounds have failed.
func call[T any](ctx context.Context, cl *Client, method, target string, body []byte) (T, error) {
	var zero T
	une := &UnreachableError{tried: cl.Addresses()}
	for round := range cl.cfg.Rounds {
		if round > 0 {
			if err := cl.cfg.Wait(ctx, cl.cfg.Pause); err != nil {
				break
			}
		}
		for range cl.cfg.Addresses {
			val, err := tryOnce[T](ctx, cl, method, target, body)
			if err == nil {
				return val, nil
			}
			var ape *APIError
			if errors.As(err, &ape) && isFinal(ape) {
				return zero, err
			}
			une.last = err
			une.maybeDone = une.maybeDone || body != nil && maybeDone(err)
			cl.next = (cl.next + 1) % len(cl.cfg.Addresses)
			if ctx.Err() != nil {
				return zero, une
			}
		}
	}
	// If the command was certainly not carried out, the last failure that the API
	// reported is more useful to the operator than the list of addresses.
	var ape *APIError
	if !une.maybeDone && errors.As(une.last, &ape) {
		return zero, ape
	}
	return zero, une
}

// isFinal reports whether a failure is final, because every other VM would give
// the same answer.
func isFinal(ape *APIError) bool { return ape.status < http.StatusInternalServerError }

// maybeDone reports whether a request that ended with err may have been
// carried out: always, except if the API rejected it as not ready or without a
// majority, or if no connection was made.
func maybeDone(err error) bool {
	var ape *APIError
	if errors.As(err, &ape) {
		return ape.body.Type != rest.TypeNotReady && ape.body.Type != rest.TypeNoMajority
	}
	var ope *net.OpError
	return !(errors.As(err, &ope) && ope.Op == "dial")
}

// tryOnce sends one request to the current address and decodes the answer.
func tryOnce[T any](ctx context.Context, cl *Client, method, target string, body []byte) (T, error) {
	var val T
	ctx, cancel := context.WithTimeout(ctx, cl.cfg.Timeout)
	defer cancel()
	address := cl.cfg.Addresses[cl.next]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return val, errors.Trace(err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	rsp, err := cl.cfg.HTTP.Do(req)
	if err != nil {
		return val, errors.Trace(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	buf, err := io.ReadAll(io.LimitReader(rsp.Body, maxAnswerBytes))
	if err != nil {
		return val, &AnswerError{address: address, cause: err}
	}
	if rsp.StatusCode >= http.StatusMultipleChoices {
		return val, failure(rsp.StatusCode, buf)
	}
	if err := json.Unmarshal(buf, &val); err != nil {
		return val, &AnswerError{address: address, cause: err}
	}
	return val, nil
}

// failure returns the error for an answer with the HTTP status of a failure. If buf
// is not a rest.Failure in JSON, the error has only the status.
func failure(status int, buf []byte) *APIError {
	var body rest.Failure
	if err := json.Unmarshal(buf, &body); err != nil {
		body = rest.Failure{}
	}
	return &APIError{status: status, body: body.Error}
}
