package faker

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"sapphiredrum.example/sapphiredrum"
)

// ServiceFaults are the faults of a service; the zero value has none.
type ServiceFaults struct {
	// Away makes every call fail as Unavailable.
	Away bool
	// Delay is the time that each call takes.
	Delay sapphiredrum.Millis
	// FailBefore is the number of next calls that fail as Unavailable without
	// running, FailAfter of those that run and are reported as Uncertain.
	FailBefore int
	FailAfter  int
	// HangBefore is the number of next calls that hang without running until
	// their caller gives up, HangAfter of those that run and then hang.
	HangBefore int
	HangAfter  int
	// Status replaces the status of answers unless it is zero.
	Status int
}

// ServiceCounters tell what a service did.
type ServiceCounters struct {
	Calls   uint64
	Runs    uint64
	Repeats uint64
	// Running is the number of calls running now, Peak the most there were.
	Running uint64
	Peak    uint64
	// Streams counts the runs of each stream.
	Streams map[sapphiredrum.StreamID]uint64
}

// Service is a plain service in memory. It answers with what it was asked and
// counts its runs. It is safe for concurrent use. The zero value is ready.
type Service struct {
	mutex    sync.Mutex
	faults   ServiceFaults
	counters ServiceCounters
}

var _ sapphiredrum.Service = (*Service)(nil)

// ServiceEcho is the JSON body of a service's answer.
type ServiceEcho struct {
	Stream sapphiredrum.StreamID
	Method string
	Path   string
	// Run is the number of runs of the stream so far.
	Run uint64
	// Digest is the digest of the request's body.
	Digest string
}

// SetFaults replaces the service's faults.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Counters returns what the service did so far.
func (s *Service) Counters() ServiceCounters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counters := s.counters
	counters.Streams = make(map[sapphiredrum.StreamID]uint64, len(s.counters.Streams))
	for stream, runs := range s.counters.Streams {
		counters.Streams[stream] = runs
	}
	return counters
}

// Call runs a call and answers with a ServiceEcho.
func (s *Service) Call(ctx context.Context, call sapphiredrum.ServiceCall) (sapphiredrum.ServiceResponse, error) {
	plan := s.plan()
	if plan.err != nil {
		return sapphiredrum.ServiceResponse{}, plan.err
	}
	if plan.hangBefore {
		<-ctx.Done()
		return sapphiredrum.ServiceResponse{}, sapphiredrum.Uncertain.Wrap(ctx.Err(), "the caller gave up")
	}
	run := s.begin(call.Stream)
	defer s.end()
	if err := pause(ctx, plan.delay); err != nil {
		return sapphiredrum.ServiceResponse{}, sapphiredrum.Uncertain.Wrap(err, "the call runs on")
	}
	if plan.hangAfter {
		<-ctx.Done()
		return sapphiredrum.ServiceResponse{}, sapphiredrum.Uncertain.Wrap(ctx.Err(), "the caller gave up")
	}
	if plan.failAfter {
		return sapphiredrum.ServiceResponse{}, sapphiredrum.Uncertain.New("the answer was lost")
	}
	return answerCall(call, plan.status, run)
}

// servicePlan is what happens to one call.
type servicePlan struct {
	err        error
	delay      sapphiredrum.Millis
	hangBefore bool
	hangAfter  bool
	failAfter  bool
	status     int
}

// plan counts a call and uses up the fault that strikes it.
func (s *Service) plan() servicePlan {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Calls++
	f := &s.faults
	plan := servicePlan{delay: f.Delay, status: f.Status}
	switch {
	case f.Away:
		plan.err = sapphiredrum.Unavailable.New("the service is away")
	case take(&f.FailBefore):
		plan.err = sapphiredrum.Unavailable.New("the service declined")
	case take(&f.HangBefore):
		plan.hangBefore = true
	case take(&f.HangAfter):
		plan.hangAfter = true
	case take(&f.FailAfter):
		plan.failAfter = true
	}
	return plan
}

// begin counts a run of the stream.
func (s *Service) begin(stream sapphiredrum.StreamID) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := &s.counters
	if c.Streams == nil {
		c.Streams = make(map[sapphiredrum.StreamID]uint64)
	}
	c.Runs++
	c.Streams[stream]++
	if c.Streams[stream] > 1 {
		c.Repeats++
	}
	c.Running++
	c.Peak = max(c.Peak, c.Running)
	return c.Streams[stream]
}

// end counts the end of a run.
func (s *Service) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Running--
}

// answerCall returns the echo of a call.
func answerCall(call sapphiredrum.ServiceCall, status int, run uint64) (sapphiredrum.ServiceResponse, error) {
	if status == 0 {
		status = http.StatusOK
	}
	sum := xxhash.Sum64(call.Body)
	echo := ServiceEcho{Stream: call.Stream, Method: call.Method, Path: call.Path, Run: run, Digest: strconv.FormatUint(sum, 16)}
	body, err := json.Marshal(echo)
	if err != nil {
		return sapphiredrum.ServiceResponse{}, sapphiredrum.BrokenResponse.Wrap(err, "echo of %s", hex.EncodeToString([]byte(call.Path)))
	}
	headers := []sapphiredrum.Header{{Name: "Content-Type", Value: "application/json"}}
	return sapphiredrum.ServiceResponse{Status: status, Headers: headers, Body: body}, nil
}

// take uses up one of a number of faults.
func take(left *int) bool {
	if *left <= 0 {
		return false
	}
	*left--
	return true
}
