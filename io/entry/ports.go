package entry

import (
	"context"
	"time"

	"guavarail/core/model"
	"guavarail/core/once"
)

// Claims is the port to the replication group that keeps idempotency keys. The
// adapter sends each command to the home data centre of its key.
type Claims interface {
	// Claim takes key for owner, which names one request. bound is the longest
	// time that the request can run. An error means that the key may or may
	// not be claimed; the request is not sent.
	Claim(ctx context.Context, key, owner string, bound time.Duration) (once.Result, error)
	// Settle records how the request ended. once.None releases the claim of a
	// request that was not run.
	Settle(ctx context.Context, key, owner string, st once.State) error
}

// Forwarder is the port that knows entry VMs of other data centres.
type Forwarder interface {
	// Addresses returns host:port of entry VMs in data centres that are in
	// service and not in traversed, in the order to try them.
	Addresses(traversed []model.CentreID) []string
}
