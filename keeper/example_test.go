package keeper_test

import (
	"fmt"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// A program is created, makes one call and hands out the records to store.
func ExampleShelf() {
	shard := sapphiredrum.ShardID{Zone: "si-1", Number: 7}
	shelf := keeper.NewShelf(keeper.DefaultRules)
	_ = shelf.Gain(0, shard, 1, nil)

	status, _ := shelf.Create(0, keeper.Creation{Program: "si-1.7.a", Workspace: "desk", Budget: 10_000})
	shelf.Safe(1, status.Tree, status.Epoch, status.Number)

	decision, err := shelf.Begin(2, keeper.Call{
		Program: "si-1.7.a", Workspace: "desk", ID: "c1", Kind: sapphiredrum.ModelRoute, Idempotent: true,
		Messages: []sapphiredrum.Message{{Role: "user", Content: "Which papers do I need?"}}, Limit: 100,
	})
	start, _ := decision.(keeper.Start)
	fmt.Println(len(start.Messages), start.Limit, err)

	finished := shelf.Finish(3, "si-1.7.a", "c1", keeper.Result{
		Attempt: start.Attempt, Answer: "A form.", Prompt: 12, Completion: 3, Outcome: sapphiredrum.Ran,
	})
	fmt.Println(finished.Head.Turn, finished.Accepted, "after record", finished.Number)
	for _, r := range shelf.Drain() {
		fmt.Println(r.Number, r.Kind, r.Spent)
	}
	// Output:
	// 1 100 <nil>
	// 1 true after record 2
	// 1 created 0
	// 2 turned 15
}
