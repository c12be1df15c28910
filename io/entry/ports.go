package entry

import (
	"context"
	"time"

	"guavarail/core/model"
	"guavarail/core/once"
)

// Claims is the port to the replication groups that store the claims of idempotency
// keys. Each key has a home data centre, whose group stores its claim; the adapter
// sends each command there.
type Claims interface {
	// Claim claims key for owner, which identifies one request. maxRunTime is the
	// longest time for which the request can run, 0 if it is unlimited; a claim that is
	// not settled by then counts as unknown. After an error the key may or
	// may not be claimed, and the request must not be sent.
	Claim(ctx context.Context, key, owner string, maxRunTime time.Duration) (once.Result, error)
	// Settle records the outcome of the request that owner claimed key for.
	// once.None means that the request was not run, and releases the claim.
	Settle(ctx context.Context, key, owner string, st once.State) error
}

// Forwarder is the port that supplies the addresses of entry VMs in other data
// centres.
type Forwarder interface {
	// Addresses returns the host:port of entry VMs in data centres that are in
	// service and not in traversed, in the order in which to try them.
	Addresses(traversed []model.CentreID) []string
}
