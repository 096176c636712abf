package archiver

import (
	"encoding/binary"
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
)

// Errors of this package.
var (
	errorTypes = sd.Errors.NewSubNamespace("archiver")
	// Malformed is the type of errors for stored data that cannot be decoded.
	Malformed = errorTypes.NewType("malformed")
	// BudgetExhausted is the type of errors for a turn that exceeds the program's
	// remaining budget.
	BudgetExhausted = errorTypes.NewType("exhausted")
)

// Account is what a program has spent and what its open turns may still spend. The
// zero Account is that of a new program.
type Account struct {
	Spent sd.Tokens
	// Open lists the reservations of the turns under way, oldest first.
	Open []Reservation
	// Settled lists the most recently ended reservations, which must not be made again. It does
	// not tell whether a turn was charged: a wide program ends more turns in a single transaction.
	Settled []Key
}

// maxSettledKeys is the number of ended reservations that an account lists.
const maxSettledKeys = 24

// Demand is what a turn asks of its program's budget. Tokens are counted in whole events, so
// that the last event may take a turn beyond its limit.
type Demand struct {
	// Limit is the token limit that the caller names. A turn is refused if the budget does not
	// hold it.
	Limit sd.Tokens
	// MaxCharge is the most that the turn may be charged, and what it reserves.
	MaxCharge sd.Tokens
}

// NewDemand returns the Demand of a turn whose events count perEvent tokens each.
func NewDemand(limit, perEvent sd.Tokens) Demand {
	if limit <= 0 {
		return Demand{}
	}
	return Demand{Limit: limit, MaxCharge: ((limit-1)/perEvent + 1) * perEvent}
}

// reservable returns the part of a budget that an account may reserve for the turn if nothing
// is allotted: the turn itself may exceed the budget by its last event.
func (d Demand) reservable(budget sd.Tokens) sd.Tokens { return budget + d.MaxCharge - d.Limit }

// Reservation is the most that one turn under way may be charged. Hold is the key of the
// reservation; each attempt to reserve for a turn uses a new key.
type Reservation struct {
	Hold  Key
	Limit sd.Tokens
}

// Reserved returns the total limit of all open reservations.
func (a *Account) Reserved() sd.Tokens {
	total := sd.Tokens(0)
	for _, r := range a.Open {
		total += r.Limit
	}
	return total
}

// HasOpen reports whether a reservation is open.
func (a *Account) HasOpen(hold Key) bool {
	return slices.ContainsFunc(a.Open, func(r Reservation) bool { return r.Hold == hold })
}

// Reserve opens a reservation of limit tokens and reports whether it is open. It fails
// if the spent and reserved tokens leave less than limit of the budget, or if the
// reservation has ended. A reservation that is already open stays as it is.
func (a *Account) Reserve(hold Key, limit, budget sd.Tokens) bool {
	if a.HasOpen(hold) {
		return true
	}
	if slices.Contains(a.Settled, hold) || limit > budget-a.Spent-a.Reserved() {
		return false
	}
	a.Open = append(slices.Clone(a.Open), Reservation{hold, limit})
	return true
}

// mayHaveDropped reports whether a reservation that is neither open nor listed as ended may have
// ended all the same.
func (a *Account) mayHaveDropped(hold Key) bool {
	return len(a.Settled) >= maxSettledKeys && !a.HasOpen(hold) && !slices.Contains(a.Settled, hold)
}

// Settle adds the tokens used by a turn, and ends its reservation if that is open.
func (a *Account) Settle(hold Key, used sd.Tokens) {
	a.Open = slices.DeleteFunc(slices.Clone(a.Open), func(r Reservation) bool { return r.Hold == hold })
	a.Spent += used
	if slices.Contains(a.Settled, hold) {
		return
	}
	first := max(0, len(a.Settled)+1-maxSettledKeys)
	a.Settled = append(slices.Clone(a.Settled[first:]), hold)
}

// formatAccount and formatTurn are the first bytes of the stored encodings.
const (
	formatAccount = 'a'
	formatTurn    = 't'
)

// Encode returns the stored encoding of an account.
func (a *Account) Encode() []byte {
	out := []byte{formatAccount}
	out = binary.AppendUvarint(out, uint64(a.Spent))
	out = binary.AppendUvarint(out, uint64(len(a.Open)))
	for _, r := range a.Open {
		out = append(out, r.Hold[:]...)
		out = binary.AppendUvarint(out, uint64(r.Limit))
	}
	out = binary.AppendUvarint(out, uint64(len(a.Settled)))
	for _, hold := range a.Settled {
		out = append(out, hold[:]...)
	}
	return out
}

// DecodeAccount decodes the encoding of Encode. Errors are Malformed.
func DecodeAccount(value []byte) (Account, error) {
	d := decoder{rest: value}
	if d.byte() != formatAccount {
		return Account{}, Malformed.New("row is not an account")
	}
	a := Account{Spent: sd.Tokens(d.number())}
	for range d.count(keySize) {
		a.Open = append(a.Open, Reservation{Hold: d.key(), Limit: sd.Tokens(d.number())})
	}
	for range d.count(keySize) {
		a.Settled = append(a.Settled, d.key())
	}
	if d.failed || len(d.rest) > 0 {
		return Account{}, Malformed.New("cannot decode account of %d bytes", len(value))
	}
	return a, nil
}
