package main_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
)

// orderLimit is the time limit, in seconds, of the order in the calm at the end.
const orderLimit = 6

// addFresh adds targets of another version in the test's process.
func (s *soak) addFresh(slots int) {
	for i := range 2 {
		target := &emulator.Target{ID: sd.TargetID(fmt.Sprintf("n-%d", i)), Pause: 5, Slots: slots, Version: "v2"}
		at := httptest.NewServer(target)
		s.t.Cleanup(at.Close)
		s.targets = append(s.targets, target)
		s.register(target, "desk", sd.Address(strings.TrimPrefix(at.URL, "http://")))
	}
}

func (s *soak) order(durationS float64) {
	emulator.WriteOrder(func(key sd.RecordKey, value []byte) { s.rows.Write(key, value) }, "desk", "v2", durationS)
}

// orders gives orders, changes and withdraws them, and writes some that cannot be used.
func (s *soak) orders(ctx context.Context, random *rand.Rand) {
	key := platform.RolloutOrderKey("desk")
	for ctx.Err() == nil {
		switch random.IntN(4) {
		case 0:
			s.tell("order withdrawn")
			s.rows.Remove(key)
		case 1:
			s.tell("order that does not parse")
			s.rows.Write(key, []byte(`{"service":"desk","to":2}`))
		default:
			limit := 0.5 + 4*random.Float64()
			s.tell("order with a limit of %.1f s", limit)
			s.order(limit)
		}
		time.Sleep(upTo(random, 100, 2500))
	}
}

// judgeOrder gives an order in the calm at the end, and checks that it is completed in time
// (ROLLOUT), whatever orders and states the faults have left behind.
func (s *soak) judgeOrder() {
	s.tell("order in the calm")
	s.order(orderLimit)
	given := s.rows.Row(platform.RolloutOrderKey("desk")).Version
	var state sd.RolloutState
	for end := time.Now().Add(orderLimit * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		row := s.rows.Row(platform.RolloutStateKey("desk"))
		if state, _ = platform.DecodeRolloutState(row.Value); row.Version > given && state == sd.RolloutCompleted {
			s.tell("completed %v before the limit", time.Until(end).Round(time.Millisecond))
			return
		}
	}
	s.note("ROLLOUT: an order in the calm is %q at its limit", state)
}
