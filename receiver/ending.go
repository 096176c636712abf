package receiver

import (
	"io"
	"strconv"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
)

// responseEnd is how the response of a target ended.
type responseEnd struct {
	// framing tells how the response marks its end; empty until it has ended.
	framing string
	// broken is set if the end was not one in order.
	broken bool
	// unfinished is the number of bytes after the last complete event of a stream.
	unfinished int
	// through is the host that copied the response, if the connection was a tunnel.
	through sd.Address
	// aftermath is what the target did after the end.
	aftermath exchanger.Aftermath
}

// recordEnd notes and counts the end of a target's response, for which err was returned.
func (q *request) recordEnd(response *exchanger.Answer, err error, unfinished int) {
	end := responseEnd{framing: "connection", broken: err != io.EOF, unfinished: unfinished, through: response.Through(), aftermath: response.Aftermath()}
	if response.Framed {
		end.framing = "frame"
	}
	q.end = end
	labels := `{framing="` + end.framing + `",broken="` + strconv.FormatBool(end.broken) + `",unfinished="` + strconv.FormatBool(unfinished > 0) +
		`",tunnel="` + strconv.FormatBool(end.through != "") + `",aftermath="` + end.aftermath.String() + `"}`
	name := "response_ends_total"
	if q.stream != nil {
		name = "stream_ends_total"
	}
	q.Metrics.Set.GetOrCreateCounter(name + labels).Inc()
}

// endFields returns log fields that describe the end of the last target's response; none if
// it has not ended.
func (q *request) endFields() []zap.Field {
	e := q.end
	if e.framing == "" {
		return nil
	}
	fields := []zap.Field{zap.String("framing", e.framing), zap.Bool("broken", e.broken)}
	if q.stream != nil {
		fields = append(fields, zap.Int("unfinished_bytes", e.unfinished))
	}
	if e.through != "" {
		fields = append(fields, zap.String("through", string(e.through)))
	}
	if e.aftermath != exchanger.NotProbed {
		fields = append(fields, zap.Stringer("aftermath", e.aftermath))
	}
	return fields
}

// attemptFields returns the log fields of an attempt whose response was not whole.
func (q *request) attemptFields(more ...zap.Field) []zap.Field {
	fields := []zap.Field{zap.Int("event", eventAttempt), q.idField(), zap.String("target", string(q.target))}
	return append(append(fields, more...), q.endFields()...)
}
