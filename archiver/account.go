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
}

// Reservation is the most that one turn under way may generate.
type Reservation struct {
	Turn  Key
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

// Holds reports whether the turn has a reservation.
func (a *Account) Holds(turn Key) bool {
	return slices.ContainsFunc(a.Open, func(r Reservation) bool { return r.Turn == turn })
}

// Reserve takes limit for a turn, unless what is spent and open leaves less of
// the budget. A turn that holds a reservation keeps it.
func (a *Account) Reserve(turn Key, limit, budget sd.Tokens) bool {
	if a.Holds(turn) {
		return true
	}
	if a.Spent+a.Reserved()+limit > budget {
		return false
	}
	a.Open = append(slices.Clone(a.Open), Reservation{turn, limit})
	return true
}

// Settle replaces a turn's reservation with what it used and reports whether
// there was one.
func (a *Account) Settle(turn Key, used sd.Tokens) bool {
	if !a.Holds(turn) {
		return false
	}
	a.Open = slices.DeleteFunc(slices.Clone(a.Open), func(r Reservation) bool { return r.Turn == turn })
	a.Spent += used
	return true
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
		out = append(out, r.Turn[:]...)
		out = binary.AppendUvarint(out, uint64(r.Limit))
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
		a.Open = append(a.Open, Reservation{Turn: d.key(), Limit: sd.Tokens(d.number())})
	}
	if d.failed || len(d.rest) > 0 {
		return Account{}, Malformed.New("account of %d bytes does not parse", len(value))
	}
	return a, nil
}
