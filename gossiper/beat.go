package gossiper

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	sd "sapphiredrum.example/sapphiredrum"
)

// Code stands for an identifier in a beat. Two identifiers with the same code
// share their counts, which is rare and does little harm.
type Code uint32

// CodeOf returns the code of an identifier.
func CodeOf[T ~string](id T) Code { return Code(xxhash.Sum64String(string(id))) }

// Beat is what a host tells the others.
type Beat struct {
	Host        sd.HostID
	Incarnation sd.Incarnation
	Number      uint64
	Revision    sd.Revision
	// Reaches tells that the host reaches the store itself.
	Reaches bool
	// Leaving tells that the host is about to end.
	Leaving bool
	// Inflight counts requests under way, Sent those of the last second, by target.
	Inflight, Sent map[Code]int
	// Admitted counts requests since the host started, by workspace.
	Admitted map[Code]uint64

	// relay asks the receiver to pass the beat on in its zone.
	relay bool
}

// The bits of a beat's flags.
const (
	flagReaches = 1 << iota
	flagLeaving
)

// The first byte of a beat, of one that is to be passed on, and of several together.
const (
	formatBeat    = 'b'
	formatRelay   = 'r'
	formatSeveral = 's'
)

// join returns several encoded beats in one datagram, each after its length.
func join(beats [][]byte) []byte {
	out := []byte{formatSeveral}
	for _, body := range beats {
		out = binary.AppendUvarint(out, uint64(len(body)))
		out = append(out, body...)
	}
	return out
}

// split returns the encoded beats of a datagram, up to what does not parse.
func split(datagram []byte) [][]byte {
	if len(datagram) == 0 || datagram[0] != formatSeveral {
		return [][]byte{datagram}
	}
	var beats [][]byte
	r := reader{rest: datagram[1:]}
	for len(r.rest) > 0 {
		n := r.number()
		if r.failed || n > uint64(len(r.rest)) {
			break
		}
		beats = append(beats, r.rest[:n])
		r.skip(int(n))
	}
	return beats
}

// relayed returns a copy of an encoded beat that is, or is not, to be passed on.
func relayed(body []byte, on bool) []byte {
	out := slices.Clone(body)
	out[0] = formatBeat
	if on {
		out[0] = formatRelay
	}
	return out
}

// Encode returns the beat as it goes over the network.
func (b *Beat) Encode() []byte {
	out := make([]byte, 0, 64+6*(len(b.Inflight)+len(b.Sent)+len(b.Admitted)))
	out = append(out, formatBeat, byte(len(b.Host)))
	out = append(out, b.Host...)
	for _, value := range []uint64{uint64(b.Incarnation), b.Number, uint64(b.Revision)} {
		out = binary.AppendUvarint(out, value)
	}
	flags := byte(0)
	if b.Reaches {
		flags |= flagReaches
	}
	if b.Leaving {
		flags |= flagLeaving
	}
	out = append(out, flags)
	out = appendCounts(out, b.Inflight)
	out = appendCounts(out, b.Sent)
	return appendCounts(out, b.Admitted)
}

func appendCounts[N int | uint64](out []byte, counts map[Code]N) []byte {
	out = binary.AppendUvarint(out, uint64(len(counts)))
	for code, count := range counts {
		out = binary.BigEndian.AppendUint32(out, uint32(code))
		out = binary.AppendUvarint(out, uint64(count))
	}
	return out
}

// DecodeBeat reads what Encode returned. It reports false for anything else.
func DecodeBeat(body []byte) (Beat, bool) {
	if len(body) < 2 || (body[0] != formatBeat && body[0] != formatRelay) || len(body) < 2+int(body[1]) {
		return Beat{}, false
	}
	b := Beat{Host: sd.HostID(body[2 : 2+body[1]]), relay: body[0] == formatRelay}
	r := reader{rest: body[2+body[1]:]}
	b.Incarnation = sd.Incarnation(r.number())
	b.Number, b.Revision = r.number(), sd.Revision(r.number())
	if len(r.rest) > 0 {
		b.Reaches, b.Leaving = r.rest[0]&flagReaches != 0, r.rest[0]&flagLeaving != 0
	}
	r.skip(1)
	b.Inflight, b.Sent, b.Admitted = readCounts[int](&r), readCounts[int](&r), readCounts[uint64](&r)
	return b, !r.failed && len(r.rest) == 0
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

func (r *reader) number() uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

// countBytes is the least that one count takes.
const countBytes = 5

func readCounts[N int | uint64](r *reader) map[Code]N {
	n := r.number()
	if n > uint64(len(r.rest)/countBytes) {
		r.failed = true
		return nil
	}
	counts := make(map[Code]N, n)
	for range n {
		if len(r.rest) < countBytes {
			r.failed = true
			return nil
		}
		code := Code(binary.BigEndian.Uint32(r.rest))
		r.skip(4)
		counts[code] = N(r.number())
	}
	return counts
}
