package scheduler_test

import (
	"fmt"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

// A guard waits for a load report that shows the earlier calls, then grants the
// permits that a cold target can take.
func ExampleCell() {
	cell := scheduler.New(0, scheduler.Settings{Epoch: 7})
	engine := sapphiredrum.Target{ID: "runner-1", Slots: 8, ColdSlots: 1, WarmUp: sapphiredrum.Minute}
	cell.SetTargets(0, []scheduler.Member{{Target: engine}})
	cell.Submit(0, scheduler.Request{Call: "a.1", Keeper: "h1", Program: "a", Workspace: "desk", Prompt: 800, MaxTokens: 200})
	cell.Submit(0, scheduler.Request{Call: "b.1", Keeper: "h1", Program: "b", Workspace: "desk", Prompt: 800, MaxTokens: 200})
	fmt.Println(len(cell.Tick(0)), "before a report")
	now := sapphiredrum.Instant(2 * sapphiredrum.Second)
	cell.Report(now, sapphiredrum.Load{Target: "runner-1", Incarnation: 1})
	for _, decision := range cell.Tick(now) {
		if granted, ok := decision.(scheduler.Granted); ok {
			fmt.Println(granted.Call, granted.Target, granted.Permit, granted.Fence)
			cell.Done(now+500, granted.Permit, scheduler.Usage{Prompt: 800, Answer: 150})
		}
	}
	fmt.Println(len(cell.Tick(now+500)), "after the first call ended")
	// Output:
	// 0 before a report
	// a.1 runner-1 30064771073 7
	// 1 after the first call ended
}
