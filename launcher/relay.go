package launcher

import (
	"context"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/leaser"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// relay sends lease work to a zone peer that reaches the platform, and does
// peers' work here.
type relay struct {
	table  sd.Table
	client *messenger.Client
}

// register adds the relay's message to a router.
func (r relay) register(router messenger.Router) {
	messenger.Handle(router, "relay", func(ctx context.Context, work leaser.Relayed) (leaser.Result, error) {
		return leaser.Perform(ctx, r.table, work)
	})
}

// Relay asks a peer to do table work.
func (r relay) Relay(ctx context.Context, address sd.Address, work leaser.Relayed) (leaser.Result, error) {
	attempt, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	return messenger.Ask[leaser.Relayed, leaser.Result](attempt, r.client, address, "relay", work)
}
