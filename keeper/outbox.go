package keeper

import (
	root "sapphiredrum.example/sapphiredrum"
)

// Outbox holds one shard's records that are not durable yet, and knows which of
// them its owner's peer holds. The zero Outbox is ready for use.
type Outbox struct {
	records []Record
	// durable marks the records that are stored.
	durable []bool
	// first is the place of records[0] in the whole sequence of records.
	first uint64
	peer  Peer
	held  uint64
}

// Copy is a message to the peer: all records that it is not known to hold.
type Copy struct {
	Peer    Peer
	Records []Record
	// Through is the place after the last record; the peer's answer repeats it.
	Through uint64
}

// Add queues records in the order in which they were drained.
func (o *Outbox) Add(records []Record) {
	o.records = append(o.records, records...)
	o.durable = append(o.durable, make([]bool, len(records))...)
}

// Next returns what to send to the peer; it is empty if the peer holds all. A
// lost message needs no other care: the next one repeats its records.
func (o *Outbox) Next(peer Peer) (Copy, bool) {
	if peer != o.peer {
		o.peer, o.held = peer, o.first
	}
	through := o.first + uint64(len(o.records))
	if o.held >= through {
		return Copy{}, false
	}
	return Copy{Peer: peer, Records: o.records[o.held-o.first:], Through: through}, true
}

// Held takes the peer's answer that it holds everything before Through, and
// returns the records that are safe by that.
func (o *Outbox) Held(peer Peer, through uint64) []Record {
	end := o.first + uint64(len(o.records))
	if peer != o.peer || through <= o.held || through > end {
		return nil
	}
	safe := o.records[o.held-o.first : through-o.first]
	o.held = through
	return safe
}

// Durable drops the tree's records up to number from the front of the sequence.
// It drops only a prefix; a record behind one that is not durable stays.
func (o *Outbox) Durable(tree root.ProgramID, number uint64) {
	for i := range o.records {
		if r := &o.records[i]; r.Tree == tree && r.Number <= number {
			o.durable[i] = true
		}
	}
	cut := 0
	for cut < len(o.records) && o.durable[cut] {
		cut++
	}
	o.records, o.durable = o.records[cut:], o.durable[cut:]
	o.first += uint64(cut)
	o.held = max(o.held, o.first)
}
