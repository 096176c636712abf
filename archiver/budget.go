package archiver

import (
	"context"
	"strconv"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
)

// reserveInBudget reserves from the part of the budget that the account may use. As long as
// that is exhausted, it closes the program and reserves from the rest, less what may have
// been allotted. The error is Unavailable if the program cannot be closed now.
func (a *Archive) reserveInBudget(ctx context.Context, program, turn Key, demand Demand, budget sd.Tokens) (Key, error) {
	// What is spent never falls.
	if spent := a.snapshot(program).Account.Spent; demand.Limit > budget-spent {
		return holdKey(turn, "none"), BudgetExhausted.New("budget exhausted: spent %d, requested %d, budget %d", spent, demand.Limit, budget)
	}
	whole := demand.reservable(budget)
	order := ReserveRequest{Program: program, Limit: demand.MaxCharge, Budget: a.reservable(program, budget, demand), turn: turn}
	for closings := 0; ; closings++ {
		prefix := ""
		if closings > 0 {
			prefix = "closed-" + strconv.Itoa(closings) + "-"
		}
		hold, err := a.reserveWithFailover(ctx, order, prefix)
		if order.Budget >= whole || !errorx.IsOfType(err, BudgetExhausted) {
			return hold, err
		}
		seen := a.snapshot(program).Account
		needed := seen.Spent + seen.Reserved() + order.Limit
		if needed > whole {
			return hold, err
		}
		a.worker(program).setOutlook(turn, Doubtful)
		rest, failure := a.closeProgram(ctx, program, budget, demand, needed)
		if failure != nil {
			return hold, sd.Unavailable.Wrap(failure, "the rest of the budget may be allotted")
		}
		// Other turns may have closed the program, or taken what was opened, since this one was
		// refused at less.
		if rest <= order.Budget {
			return hold, err
		}
		order.Budget = rest
	}
}

// closeProgram closes a program, unless that has opened what is needed before, and returns the
// part of its budget that its account may reserve.
func (a *Archive) closeProgram(ctx context.Context, program Key, budget sd.Tokens, demand Demand, needed sd.Tokens) (sd.Tokens, error) {
	w := a.worker(program)
	w.lock.Lock()
	known := w.closed[program]
	w.lock.Unlock()
	if known >= needed {
		return min(known, demand.reservable(budget)), nil
	}
	rest, err := a.peers.Budgets.Close(ctx, program, budget, demand, needed)
	if err != nil {
		return 0, err
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.closed[program] = max(w.closed[program], rest)
	return min(w.closed[program], demand.reservable(budget)), nil
}

// reservable returns the part of a program's budget that its account may reserve for a turn.
func (a *Archive) reservable(program Key, budget sd.Tokens, demand Demand) sd.Tokens {
	whole := demand.reservable(budget)
	if a.peers.Budgets == nil {
		return whole
	}
	w := a.worker(program)
	w.lock.Lock()
	rest, closed := w.closed[program]
	w.lock.Unlock()
	if closed {
		return min(rest, whole)
	}
	return a.peers.Budgets.Reservable(budget, demand)
}
