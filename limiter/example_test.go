package limiter_test

import (
	"fmt"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/limiter"
)

// One host holds the accounts of both zones, so that the second lends to the first.
func ExampleState() {
	zones := []sapphiredrum.Zone{{Name: "si-1"}, {Name: "si-2"}}
	workspaces := []sapphiredrum.Workspace{{ID: "desk", Rate: 2, Burst: 2}}
	accounts := limiter.Accounts("desk", zones)

	now := sapphiredrum.Instant(1000)
	state := limiter.New(limiter.Settings{}, 1)
	state.Configure(now, 1, workspaces, zones)
	state.RenewLease(now, now.Add(sapphiredrum.Minute))
	for _, id := range accounts {
		state.AddShard(now, id, 1, true)
	}
	for range 30 {
		now = now.Add(100)
		for _, ask := range state.Tick(now) {
			state.Receive(now, state.Lend(now, ask))
		}
	}
	for range 3 {
		verdict := state.Admit(now, "desk", accounts[0])
		fmt.Println(verdict.Admitted, verdict.RetryAfter)
	}
	fmt.Println(state.Admit(now, "desk", accounts[1]).Borrower == accounts[0])
	// Output:
	// true 0
	// true 0
	// false 502
	// true
}

// The zero Bucket is empty and fills once it has a rate and a burst.
func ExampleBucket() {
	var bucket limiter.Bucket
	bucket.Set(0, 10, 5)
	fmt.Println(bucket.Take(0))
	fmt.Println(bucket.Take(101))
	// Output:
	// false 101
	// true 0
}
