package archiver

import sd "sapphiredrum.example/sapphiredrum"

// Outlook is what is known of a reservation that is pending.
type Outlook int

const (
	// Unknown is said of a reservation of which whoever decides on it has told nothing.
	Unknown Outlook = iota
	// Likely reservations fit the budget beside what is reserved and what waits to be.
	Likely
	// Doubtful reservations do not, unless turns under way end below their limits.
	Doubtful
)

// ReservationOutlook returns what is known of a turn's pending reservation: what whoever decides on
// it has told, or else what this host has last seen of the account.
func (a *Archive) ReservationOutlook(program, turn Key) Outlook {
	w := a.worker(program)
	w.lock.Lock()
	defer w.lock.Unlock()
	pending, known := w.reserving[turn]
	switch {
	case !known:
		return Unknown
	case pending.outlook != Unknown:
		return pending.outlook
	case w.isDoubtful(a.clock.Now(), pending.order):
		return Doubtful
	case pending.local:
		return Likely
	}
	return Unknown
}

// setOutlook records what is known of a turn's pending reservation.
func (w *worker) setOutlook(turn Key, outlook Outlook) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if pending, known := w.reserving[turn]; known {
		pending.outlook = outlook
		w.reserving[turn] = pending
	}
}

// asked records a reservation that is asked for, and whether this host decides on it.
func (w *worker) asked(order ReserveRequest, local bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if pending, known := w.reserving[order.turn]; known {
		pending.order, pending.local = order, local
		w.reserving[order.turn] = pending
	}
}

// isDoubtful reports whether the budget does not hold a reservation beside the account as last seen
// and the other reservations that wait. The lock must be held.
func (w *worker) isDoubtful(now sd.Instant, order ReserveRequest) bool {
	total := order.Limit + w.lane.Reserving(now, order.Program, order.Hold)
	if row := w.lane.rows[order.Program]; row != nil {
		total += row.account.Spent + row.account.Reserved()
	}
	return total > order.Budget
}
