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
	// requestTimeout must exceed the time for which an entry VM waits for orders
	// before it responds to a report (long poll).
	requestTimeout = 3 * time.Second
	// maxResponseBytes limits how much of a response is read.
	maxResponseBytes = 8 << 20
	// maxErrorBytes limits how much of an error response a StatusError contains.
	maxErrorBytes = 512
)

// api is a client of the API of the data centre's entry VMs, the VMs that run the
// scheduler. After a failure it switches to the next VM. It must be used by one
// goroutine only.
type api struct {
	http      *http.Client
	addresses []string
	// next is the index in addresses of the VM that the next request is sent to.
	next int
}

func newAPI(addresses []string) *api {
	return &api{http: &http.Client{Transport: &http.Transport{}, Timeout: requestTimeout}, addresses: addresses}
}

func (ap *api) close() { ap.http.CloseIdleConnections() }

// post sends body to an entry VM and decodes the response. After a failure the
// next call uses the next VM in the order of addresses.
func post[A any](ctx context.Context, ap *api, path string, body any) (A, error) {
	var out A
	err := ap.send(ctx, path, body, &out)
	if err != nil && len(ap.addresses) > 0 {
		ap.next = (ap.next + 1) % len(ap.addresses)
	}
	return out, errors.Trace(err)
}

func (ap *api) send(ctx context.Context, path string, body, out any) error {
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
		text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
		return errors.Trace(&StatusError{path: path, status: res.StatusCode, body: string(text)})
	}
	return errors.Annotatef(json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(out), "decode response of %s", path)
}
