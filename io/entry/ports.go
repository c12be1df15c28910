package entry

import (
	"context"
	"time"

	"guavarail/core/model"
	"guavarail/core/once"
)

// Claims is the port to the replication group that stores idempotency keys. The
// adapter sends each command to the home data centre of its key.
type Claims interface {
	// Claim claims key for owner, which identifies one request. maxRunTime is
	// the longest time that the request can run. After an error the key may or
	// may not be claimed, and the request must not be sent.
	Claim(ctx context.Context, key, owner string, maxRunTime time.Duration) (once.Result, error)
	// Settle records how the request ended. once.None means that the request
	// was not run and releases the claim.
	Settle(ctx context.Context, key, owner string, st once.State) error
}

// Forwarder is the port that supplies the addresses of entry VMs in other data
// centres.
type Forwarder interface {
	// Addresses returns the host:port of entry VMs in data centres that are in
	// service and not in traversed, in the order in which to try them.
	Addresses(traversed []model.CentreID) []string
}
