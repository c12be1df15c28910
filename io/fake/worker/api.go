package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	// callTimeout is longer than the long poll of a report.
	callTimeout = 3 * time.Second
	// maxAnswer bounds the answers that are read.
	maxAnswer = 8 << 20
	// maxErrorText bounds the text of an error that is kept.
	maxErrorText = 512
)

// api calls the entry VMs of the data centre, one after the other when one
// fails. It is used by one goroutine.
type api struct {
	http      *http.Client
	addresses []string
	next      int
}

func newAPI(addresses []string) *api {
	return &api{http: &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}, addresses: addresses}
}

func (ap *api) close() { ap.http.CloseIdleConnections() }

// post sends body to the current entry VM and decodes the answer. After a
// failure the next call goes to the next VM.
func post[A any](ctx context.Context, ap *api, path string, body any) (A, error) {
	var ans A
	err := ap.try(ctx, path, body, &ans)
	if err != nil && len(ap.addresses) > 0 {
		ap.next = (ap.next + 1) % len(ap.addresses)
	}
	return ans, errors.Trace(err)
}

func (ap *api) try(ctx context.Context, path string, body, ans any) error {
	if len(ap.addresses) == 0 {
		return errors.Trace(&StatusError{path: path, body: "no entry vm is configured"})
	}
	buf, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ap.addresses[ap.next]+path, bytes.NewReader(buf))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := ap.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorText))
		return errors.Trace(&StatusError{path: path, status: res.StatusCode, body: string(text)})
	}
	return errors.Annotatef(json.NewDecoder(io.LimitReader(res.Body, maxAnswer)).Decode(ans), "decode answer of %s", path)
}
