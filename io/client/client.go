// Package client calls the HTTP API over several addresses. It tries the next
// address when one cannot be reached. Every command carries an identity, or a
// name in the case of jobs, so that sending it again cannot carry it out
// twice.
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

// Wait returns after the given time, or with an error when ctx ends before.
type Wait func(ctx context.Context, dur time.Duration) error

// Config configures a client. Zero fields mean the defaults.
type Config struct {
	// Addresses of the API, as IP:port, in the order in which they are
	// tried. At least one is needed.
	Addresses []string
	// HTTP sends the requests.
	HTTP Doer
	// Wait pauses between two rounds over the addresses.
	Wait Wait
	// Timeout bounds one request.
	Timeout time.Duration
	// Rounds is how often all addresses are tried.
	Rounds int
	// Pause is the time between two rounds.
	Pause time.Duration
}

// Defaults of a client. Six rounds with pauses of 1 s outlast an election,
// which takes 4 s at most.
const (
	DefaultTimeout = 5 * time.Second
	DefaultRounds  = 6
	DefaultPause   = time.Second
)

// Client calls the API. It is not for concurrent use; At returns independent
// clients.
type Client struct {
	cfg Config
	// next is the position of the address that answered last.
	next int
}

// New returns a client. The clean-up function closes idle connections.
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

// At returns a client of one address that tries it once. It shares the
// connections of cl.
func (cl *Client) At(address string) *Client {
	cfg := cl.cfg
	cfg.Addresses, cfg.Rounds = []string{address}, 1
	return &Client{cfg: cfg}
}

// Addresses returns a copy of the addresses.
func (cl *Client) Addresses() []string { return append([]string(nil), cl.cfg.Addresses...) }

// Wait pauses for the given time.
func (cl *Client) Wait(ctx context.Context, dur time.Duration) error { return cl.cfg.Wait(ctx, dur) }

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

func orDefault[T ~int | ~int64](val, def T) T {
	if val <= 0 {
		return def
	}
	return val
}
