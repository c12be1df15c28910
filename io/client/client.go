// Package client calls the HTTP API at one of several addresses and tries the
// next one when an address cannot be reached. An operator command is identified by
// its command ID, and the submission of a job by the name of the job. A request that
// is sent again with the same identity is carried out at most once.
package client

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// Doer sends one HTTP request.
type Doer interface {
	Do(req *http.Request) (*http.Response, error)
}

// Wait returns nil after the given time, or an error if ctx ends earlier.
type Wait func(ctx context.Context, dur time.Duration) error

// Config configures a client. Apart from Addresses, a zero field selects the default.
type Config struct {
	// Addresses of the API, as IP:port, in the order in which they are
	// tried. At least one is needed.
	Addresses []string
	// HTTP sends the requests; by default an http.Client of its own.
	HTTP Doer
	// Wait pauses between two rounds over the addresses; by default in real time.
	Wait Wait
	// Timeout bounds one request to one address.
	Timeout time.Duration
	// Rounds is how often each address is tried at most.
	Rounds int
	// Pause is the time between two rounds.
	Pause time.Duration
}

// Defaults of a client. Six rounds with pauses of 1 s outlast a leader election,
// which takes at most 4 s.
const (
	DefaultTimeout = 5 * time.Second
	DefaultRounds  = 6
	DefaultPause   = time.Second
)

// Client calls the API. It is not safe for concurrent use, but may be used
// concurrently with the clients that At returns.
type Client struct {
	cfg Config
	// next is the index of the address to try first: that of the last answer, or the
	// one after the last address that failed.
	next int
}

// New returns a client and a function that closes its idle connections. The function
// has no effect if cfg has its own HTTP. It is never nil.
func New(cfg Config) (*Client, func(), error) {
	if len(cfg.Addresses) == 0 {
		return nil, func() {}, &AddressError{}
	}
	for _, adr := range cfg.Addresses {
		if _, err := netip.ParseAddrPort(adr); err != nil {
			return nil, func() {}, &AddressError{address: adr}
		}
	}
	cfg.Addresses = append([]string(nil), cfg.Addresses...)
	stop := func() {}
	if cfg.HTTP == nil {
		trp := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
		cfg.HTTP, stop = &http.Client{Transport: trp}, trp.CloseIdleConnections
	}
	if cfg.Wait == nil {
		cfg.Wait = sleep
	}
	cfg.Timeout = orDefault(cfg.Timeout, DefaultTimeout)
	cfg.Rounds = orDefault(cfg.Rounds, DefaultRounds)
	cfg.Pause = orDefault(cfg.Pause, DefaultPause)
	return &Client{cfg: cfg}, stop, nil
}

// At returns a client that sends each request once, to the given address. It
// shares the connections of cl.
func (cl *Client) At(address string) *Client {
	cfg := cl.cfg
	cfg.Addresses, cfg.Rounds = []string{address}, 1
	return &Client{cfg: cfg}
}

// Addresses returns a copy of the addresses.
func (cl *Client) Addresses() []string { return append([]string(nil), cl.cfg.Addresses...) }

// Wait pauses for the given time. It returns an error if ctx ends earlier.
func (cl *Client) Wait(ctx context.Context, dur time.Duration) error { return cl.cfg.Wait(ctx, dur) }

// sleep is the Wait that passes in real time.
func sleep(ctx context.Context, dur time.Duration) error {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tmr.C:
		return nil
	}
}

// orDefault returns val, or def if val is not positive.
func orDefault[T ~int | ~int64](val, def T) T {
	if val <= 0 {
		return def
	}
	return val
}
