package archiver

import (
	"encoding/binary"
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
)

// Errors of this package.
var (
	errorTypes = sd.Errors.NewSubNamespace("archiver")
	// Malformed marks a stored row that does not parse.
	Malformed = errorTypes.NewType("malformed")
	// Exhausted marks a turn that the program's budget does not hold.
	Exhausted = errorTypes.NewType("exhausted")
)

// Account is what a program has spent and what its open turns may spend. The zero
// Account is that of a new program.
type Account struct {
	Spent sd.Tokens
	// Open holds the most of each turn under way, in order of the reservations.
	Open []Reservation
	// Settled names the reservations that ended last, so that none is charged twice.
	Settled []Key
}

// settledKept is the number of ended reservations that an account names: several
// times the turns that a program has under way at once.
const settledKept = 24

// Reservation is the most that one turn under way may generate. Hold is the key of
// the reservation; a turn for which a reservation is tried again gets another one.
type Reservation struct {
	Hold  Key
	Limit sd.Tokens
}

// Reserved returns the tokens of all open turns.
func (a *Account) Reserved() sd.Tokens {
	total := sd.Tokens(0)
	for _, r := range a.Open {
		total += r.Limit
	}
	return total
}

// Holds reports whether a reservation is open.
func (a *Account) Holds(hold Key) bool {
	return slices.ContainsFunc(a.Open, func(r Reservation) bool { return r.Hold == hold })
}

// Reserve takes limit for a turn, unless what is spent and open leaves less of
// the budget. A reservation that is open stays; one that has ended is not made
// again.
func (a *Account) Reserve(hold Key, limit, budget sd.Tokens) bool {
	if a.Holds(hold) {
		return true
	}
	if slices.Contains(a.Settled, hold) || a.Spent+a.Reserved()+limit > budget {
		return false
	}
	a.Open = append(slices.Clone(a.Open), Reservation{hold, limit})
	return true
}

// ended reports whether a reservation has ended.
func (a *Account) ended(hold Key) bool { return slices.Contains(a.Settled, hold) }

// Settle charges what a turn used, in place of its reservation if that is open.
func (a *Account) Settle(hold Key, used sd.Tokens) {
	a.Open = slices.DeleteFunc(slices.Clone(a.Open), func(r Reservation) bool { return r.Hold == hold })
	a.Spent += used
	if a.ended(hold) {
		return
	}
	first := max(0, len(a.Settled)+1-settledKept)
	a.Settled = append(slices.Clone(a.Settled[first:]), hold)
}

// formatAccount and formatTurn are the first bytes of the stored forms.
const (
	formatAccount = 'a'
	formatTurn    = 't'
)

// Encode returns the stored form of an account.
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

// DecodeAccount reads what Encode returned. Errors are Malformed.
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
		return Account{}, Malformed.New("account of %d bytes does not parse", len(value))
	}
	return a, nil
}
