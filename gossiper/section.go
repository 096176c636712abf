package gossiper

import (
	"encoding/binary"

	sd "sapphiredrum.example/sapphiredrum"
)

// formatSections is the first byte of a record of sections. Such a record directly follows the
// heartbeat that it completes, in the same datagram. Builds without sections reject a heartbeat
// that is longer than they expect, but skip records of a format that they do not know.
const formatSections = 'x'

// The tags of the sections. A section is its tag, the length of its content and the content;
// sections of unknown tags are skipped. Tags are never used again for other content.
const (
	sectionUnread    = 'u'
	sectionTokens    = 't'
	sectionWorkTimes = 'w'
)

// WorkTime is how long work takes at a target, as it last reported.
type WorkTime struct {
	// Hundredths of the usual time.
	Hundredths uint64
	// Age is how long before the heartbeat the target reported it.
	Age sd.Millis
}

// encodeSections returns the record of the heartbeat's sections, or nil if all are empty.
func (b *Heartbeat) encodeSections() []byte {
	out := []byte{formatSections}
	if len(b.Unread) > 0 {
		out = appendSection(out, sectionUnread, appendCounts(nil, b.Unread))
	}
	if len(b.Tokens) > 0 {
		out = appendSection(out, sectionTokens, appendCounts(nil, b.Tokens))
	}
	if len(b.WorkTimes) > 0 {
		content := binary.AppendUvarint(nil, uint64(len(b.WorkTimes)))
		for code, w := range b.WorkTimes {
			content = binary.BigEndian.AppendUint32(content, uint32(code))
			content = binary.AppendUvarint(content, w.Hundredths)
			content = binary.AppendUvarint(content, uint64(max(w.Age, 0)))
		}
		out = appendSection(out, sectionWorkTimes, content)
	}
	if len(out) == 1 {
		return nil
	}
	return out
}

func appendSection(out []byte, tag byte, content []byte) []byte {
	out = binary.AppendUvarint(append(out, tag), uint64(len(content)))
	return append(out, content...)
}

// isSections reports whether a record holds sections.
func isSections(record []byte) bool { return len(record) > 0 && record[0] == formatSections }

// decodeSections adds the sections of a record to the heartbeat. A section that does not parse is
// ignored; so is what follows one whose length is wrong.
func (b *Heartbeat) decodeSections(record []byte) {
	r := reader{rest: record[1:]}
	for len(r.rest) > 0 {
		tag := r.rest[0]
		r.skip(1)
		n := r.uvarint()
		if r.failed || n > uint64(len(r.rest)) {
			return
		}
		content := reader{rest: r.rest[:n]}
		r.skip(int(n))
		switch tag {
		case sectionUnread:
			if counts := readCounts[int](&content); !content.failed {
				b.Unread = counts
			}
		case sectionTokens:
			if counts := readCounts[int](&content); !content.failed {
				b.Tokens = counts
			}
		case sectionWorkTimes:
			if times := readWorkTimes(&content); !content.failed {
				b.WorkTimes = times
			}
		}
	}
}

func readWorkTimes(r *reader) map[IDHash]WorkTime {
	n := r.uvarint()
	// An entry is a count and its age.
	if n > uint64(len(r.rest)/(minCountBytes+1)) {
		r.failed = true
		return nil
	}
	times := make(map[IDHash]WorkTime, n)
	for range n {
		if len(r.rest) < minCountBytes+1 {
			r.failed = true
			return nil
		}
		code := IDHash(binary.BigEndian.Uint32(r.rest))
		r.skip(4)
		hundredths, age := r.uvarint(), r.uvarint()
		times[code] = WorkTime{Hundredths: hundredths, Age: sd.Millis(min(age, uint64(sd.Minute)))}
	}
	return times
}
