package gossiper

import (
	"encoding/binary"
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/promoter"
)

// Builds before 2026-12-06 reject a heartbeat with anything behind the fields that they know, and
// take its sender for lost. So optional sections travel as a separate entry behind the heartbeat in
// a batch, where those builds skip entries that they cannot read. Each section has a tag and a
// length; sections with an unknown tag are skipped. Such builds do not relay sections.

// formatSections is the first byte of an entry with sections.
const formatSections = 'x'

// Tags of sections. Tags are never used again for other content.
const (
	sectionRollouts  = 2
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

// maxRollouts bounds the rollouts of a heartbeat: those of the pools of a large deployment.
const maxRollouts = 32

// encodeSections returns the entry with the heartbeat's sections, or nil if it has none.
func (b *Heartbeat) encodeSections() []byte {
	if len(b.Rollouts) == 0 && len(b.Unread) == 0 && len(b.Tokens) == 0 && len(b.WorkTimes) == 0 {
		return nil
	}
	out := appendSectionsHead(nil, b)
	if len(b.Rollouts) > 0 {
		out = appendSection(out, sectionRollouts, encodeRollouts(b.Rollouts))
	}
	if len(b.Unread) > 0 {
		out = appendSection(out, sectionUnread, appendCounts(nil, b.Unread))
	}
	if len(b.Tokens) > 0 {
		out = appendSection(out, sectionTokens, appendCounts(nil, b.Tokens))
	}
	if len(b.WorkTimes) > 0 {
		out = appendSection(out, sectionWorkTimes, encodeWorkTimes(b.WorkTimes))
	}
	return out
}

// appendSectionsHead appends the format and the heartbeat to which the sections belong.
func appendSectionsHead(out []byte, b *Heartbeat) []byte {
	out = append(append(out, formatSections, byte(len(b.Host))), b.Host...)
	out = binary.AppendUvarint(out, uint64(b.Incarnation))
	return binary.AppendUvarint(out, b.Number)
}

func appendSection(out []byte, tag byte, content []byte) []byte {
	out = append(out, tag)
	out = binary.AppendUvarint(out, uint64(len(content)))
	return append(out, content...)
}

// encodeWithSections returns the datagram of a heartbeat whose encoding is body.
func (b *Heartbeat) encodeWithSections(body []byte) []byte {
	sections := b.encodeSections()
	if sections == nil {
		return body
	}
	return encodeBatch([][]byte{body, sections})
}

// takeSections adds the sections of the entry that follows a heartbeat in its datagram. It reports
// whether the entry belongs to the heartbeat. A section that does not parse is left out.
func (b *Heartbeat) takeSections(entry []byte) bool {
	if len(entry) < 2 || entry[0] != formatSections {
		return false
	}
	end := 2 + int(entry[1])
	if len(entry) < end || sd.HostID(entry[2:end]) != b.Host {
		return false
	}
	r := reader{rest: entry[end:]}
	if incarnation, number := r.uvarint(), r.uvarint(); r.failed || sd.Incarnation(incarnation) != b.Incarnation || number != b.Number {
		return false
	}
	for len(r.rest) > 0 {
		tag := r.rest[0]
		r.skip(1)
		n := r.uvarint()
		if r.failed || n > uint64(len(r.rest)) {
			break
		}
		content := reader{rest: r.rest[:n]}
		r.skip(int(n))
		b.decodeSection(tag, &content)
	}
	return true
}

// decodeSection sets the field of a section, unless the section does not parse.
func (b *Heartbeat) decodeSection(tag byte, content *reader) {
	switch tag {
	case sectionRollouts:
		b.Rollouts = decodeRollouts(content)
	case sectionUnread:
		if counts := readCounts[int](content); !content.failed {
			b.Unread = counts
		}
	case sectionTokens:
		if counts := readCounts[int](content); !content.failed {
			b.Tokens = counts
		}
	case sectionWorkTimes:
		if times := readWorkTimes(content); !content.failed {
			b.WorkTimes = times
		}
	}
}

func encodeWorkTimes(times map[IDHash]WorkTime) []byte {
	out := binary.AppendUvarint(nil, uint64(len(times)))
	for code, w := range times {
		out = binary.BigEndian.AppendUint32(out, uint32(code))
		out = binary.AppendUvarint(out, w.Hundredths)
		out = binary.AppendUvarint(out, uint64(max(w.Age, 0)))
	}
	return out
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
		code := IDHash(r.uint32())
		hundredths, age := r.uvarint(), r.uvarint()
		times[code] = WorkTime{Hundredths: hundredths, Age: sd.Millis(min(age, uint64(sd.Minute)))}
	}
	return times
}

func encodeRollouts(rollouts map[IDHash]promoter.Report) []byte {
	out := binary.AppendUvarint(nil, uint64(len(rollouts)))
	for pool, report := range rollouts {
		out = binary.BigEndian.AppendUint32(out, uint32(pool))
		out = append(out, byte(report.Stage))
		for _, value := range []uint64{report.Order, uint64(max(report.Age, 0)), report.OldInflight, uint64(len(report.Routes))} {
			out = binary.AppendUvarint(out, value)
		}
		for route, c := range report.Routes {
			out = binary.BigEndian.AppendUint32(out, uint32(route))
			out = appendCount(appendCount(out, c.New), c.Old)
		}
		out = binary.AppendUvarint(out, uint64(len(report.Targets)))
		for target, c := range report.Targets {
			out = appendCount(binary.BigEndian.AppendUint32(out, uint32(target)), c)
		}
	}
	return out
}

func appendCount(out []byte, c promoter.Count) []byte {
	for _, value := range []uint64{c.Answers, c.Failures, c.Timed, c.Slow} {
		out = binary.AppendUvarint(out, value)
	}
	return out
}

func (r *reader) count() promoter.Count {
	return promoter.Count{Answers: r.uvarint(), Failures: r.uvarint(), Timed: r.uvarint(), Slow: r.uvarint()}
}

// decodeRollouts reads the output of encodeRollouts; nil if it does not parse.
func decodeRollouts(r *reader) map[IDHash]promoter.Report {
	n := r.uvarint()
	if n > maxRollouts {
		return nil
	}
	rollouts := map[IDHash]promoter.Report{}
	for range n {
		pool := IDHash(r.uint32())
		report := promoter.Report{Routes: map[promoter.RouteID]promoter.RouteCount{}, Targets: map[promoter.TargetCode]promoter.Count{}}
		if len(r.rest) > 0 {
			report.Stage = promoter.Stage(r.rest[0])
		}
		r.skip(1)
		report.Order, report.Age, report.OldInflight = r.uvarint(), sd.Millis(r.uvarint()), r.uvarint()
		for range min(r.uvarint(), uint64(len(r.rest))) {
			route := promoter.RouteID(r.uint32())
			report.Routes[route] = promoter.RouteCount{New: r.count(), Old: r.count()}
		}
		for range min(r.uvarint(), uint64(len(r.rest))) {
			target := promoter.TargetCode(r.uint32())
			report.Targets[target] = r.count()
		}
		rollouts[pool] = report
	}
	if r.failed {
		return nil
	}
	return rollouts
}

func (r *reader) uint32() uint32 {
	if len(r.rest) < 4 {
		r.failed, r.rest = true, nil
		return 0
	}
	value := binary.BigEndian.Uint32(r.rest)
	r.skip(4)
	return value
}

// entries returns the heartbeats of a datagram, each with its sections.
func entries(datagram []byte) []entry {
	var list []entry
	for _, body := range splitBatch(datagram) {
		if last := len(list) - 1; last >= 0 && list[last].sections == nil && list[last].beat.takeSections(body) {
			list[last].sections = body
			continue
		}
		if beat, ok := DecodeHeartbeat(body); ok {
			list = append(list, entry{beat: beat, body: body})
		}
	}
	return list
}

// entry is a heartbeat of a datagram, with its encoding and that of its sections.
type entry struct {
	beat           Heartbeat
	body, sections []byte
}

// relayBodies returns copies of the encodings, to be relayed.
func (e entry) relayBodies() [][]byte {
	bodies := [][]byte{withRelay(e.body, false)}
	if e.sections != nil {
		bodies = append(bodies, slices.Clone(e.sections))
	}
	return bodies
}
