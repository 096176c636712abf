package gossiper

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/promoter"
)

// IDHash is the hash of an identifier, used in place of it in heartbeats. Two
// identifiers with the same hash share their counts, which is rare and does little
// harm.
type IDHash uint32

// HashID returns the hash of an identifier.
func HashID[T ~string](id T) IDHash { return IDHash(xxhash.Sum64String(string(id))) }

// Heartbeat is the state that a host reports to the others.
type Heartbeat struct {
	Host        sd.HostID
	Incarnation sd.Incarnation
	Number      uint64
	Revision    sd.Revision
	// ReachesStore reports whether the host reaches the store directly.
	ReachesStore bool
	// Leaving reports whether the host is about to stop.
	Leaving bool
	// Detached reports whether the host opens no connections to targets itself.
	Detached bool
	// Inflight counts requests in flight, Sent those sent in the last second, by target.
	Inflight, Sent map[IDHash]int
	// Admitted counts requests admitted since the host started, by workspace.
	Admitted map[IDHash]uint64
	// Rollouts are the host's reports of rollouts, by pool.
	Rollouts map[IDHash]promoter.Report
	// Unread counts the prompt tokens in flight that are not read yet, Tokens the tokens that the
	// requests in flight may come to hold, by target. WorkTimes holds the fresh reports of
	// targets. These are sent in sections, see encodeSections.
	Unread, Tokens map[IDHash]int
	WorkTimes      map[IDHash]WorkTime

	// relay asks the receiver to forward the heartbeat within its zone.
	relay bool
}

// Bits of a heartbeat's flags.
const (
	flagReaches = 1 << iota
	flagLeaving
	flagDetached
)

// The first byte of a datagram: one heartbeat, one to be relayed, or a batch.
const (
	formatSingle = 'b'
	formatRelay  = 'r'
	formatBatch  = 's'
)

// encodeBatch packs encoded heartbeats into one datagram, each prefixed with its length.
func encodeBatch(beats [][]byte) []byte {
	out := []byte{formatBatch}
	for _, body := range beats {
		out = binary.AppendUvarint(out, uint64(len(body)))
		out = append(out, body...)
	}
	return out
}

// splitBatch returns the encoded heartbeats of a datagram, up to the first that does not parse.
func splitBatch(datagram []byte) [][]byte {
	if len(datagram) == 0 || datagram[0] != formatBatch {
		return [][]byte{datagram}
	}
	var beats [][]byte
	r := reader{rest: datagram[1:]}
	for len(r.rest) > 0 {
		n := r.uvarint()
		if r.failed || n > uint64(len(r.rest)) {
			break
		}
		beats = append(beats, r.rest[:n])
		r.skip(int(n))
	}
	return beats
}

// withRelay returns a copy of an encoded heartbeat with the relay request set or cleared.
func withRelay(body []byte, on bool) []byte {
	out := slices.Clone(body)
	out[0] = formatSingle
	if on {
		out[0] = formatRelay
	}
	return out
}

// Encode returns the wire format of the heartbeat without its sections.
func (b *Heartbeat) Encode() []byte {
	out := make([]byte, 0, 64+6*(len(b.Inflight)+len(b.Sent)+len(b.Admitted)))
	out = append(out, formatSingle, byte(len(b.Host)))
	out = append(out, b.Host...)
	for _, value := range []uint64{uint64(b.Incarnation), b.Number, uint64(b.Revision)} {
		out = binary.AppendUvarint(out, value)
	}
	flags := byte(0)
	if b.ReachesStore {
		flags |= flagReaches
	}
	if b.Leaving {
		flags |= flagLeaving
	}
	if b.Detached {
		flags |= flagDetached
	}
	out = append(out, flags)
	out = appendCounts(out, b.Inflight)
	out = appendCounts(out, b.Sent)
	return appendCounts(out, b.Admitted)
}

func appendCounts[N int | uint64](out []byte, counts map[IDHash]N) []byte {
	out = binary.AppendUvarint(out, uint64(len(counts)))
	for code, count := range counts {
		out = binary.BigEndian.AppendUint32(out, uint32(code))
		out = binary.AppendUvarint(out, uint64(count))
	}
	return out
}

// DecodeHeartbeat parses the output of Encode. Bytes that follow it are ignored, as later builds
// may add to it; builds up to 2026-12-06 reject them. It returns false for anything else.
func DecodeHeartbeat(body []byte) (Heartbeat, bool) {
	if len(body) < 2 || (body[0] != formatSingle && body[0] != formatRelay) || len(body) < 2+int(body[1]) {
		return Heartbeat{}, false
	}
	b := Heartbeat{Host: sd.HostID(body[2 : 2+int(body[1])]), relay: body[0] == formatRelay}
	r := reader{rest: body[2+int(body[1]):]}
	b.Incarnation = sd.Incarnation(r.uvarint())
	b.Number, b.Revision = r.uvarint(), sd.Revision(r.uvarint())
	if len(r.rest) > 0 {
		b.ReachesStore, b.Leaving, b.Detached = r.rest[0]&flagReaches != 0, r.rest[0]&flagLeaving != 0, r.rest[0]&flagDetached != 0
	}
	r.skip(1)
	b.Inflight, b.Sent, b.Admitted = readCounts[int](&r), readCounts[int](&r), readCounts[uint64](&r)
	return b, !r.failed
}

type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) skip(n int) {
	if n > len(r.rest) {
		r.failed, r.rest = true, nil
		return
	}
	r.rest = r.rest[n:]
}

func (r *reader) uvarint() uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

// minCountBytes is the minimum encoded size of a count: a 4-byte hash and a varint.
const minCountBytes = 5

func readCounts[N int | uint64](r *reader) map[IDHash]N {
	n := r.uvarint()
	if n > uint64(len(r.rest)/minCountBytes) {
		r.failed = true
		return nil
	}
	counts := make(map[IDHash]N, n)
	for range n {
		if len(r.rest) < minCountBytes {
			r.failed = true
			return nil
		}
		code := IDHash(binary.BigEndian.Uint32(r.rest))
		r.skip(4)
		counts[code] = N(r.uvarint())
	}
	return counts
}
