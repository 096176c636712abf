package loader

import "sapphiredrum.example/sapphiredrum"

// Settings are what a host learns from its own file.
type Settings struct {
	Name sapphiredrum.HostID
	Zone sapphiredrum.ZoneName
	// Caller, Peer and Operator are the addresses to listen on.
	Caller   sapphiredrum.Address
	Peer     sapphiredrum.Address
	Operator sapphiredrum.Address
	// Advertise is the address by which peers reach Peer.
	Advertise sapphiredrum.Address
	// Platform is the address of the table, the object store and the list.
	Platform sapphiredrum.Address
	// Seeds are peers to ask for the configuration while the platform is away.
	Seeds []sapphiredrum.Address
	Log   LogLevel

	// The following are zero where the file leaves them to the host's defaults.

	// TTL is how long a lease lasts without renewal, Drift what clocks may differ
	// by over that time.
	TTL   sapphiredrum.Millis
	Drift sapphiredrum.Millis
	// Poll is the time between two looks for a new configuration.
	Poll sapphiredrum.Millis
	// Linger is how long a leaving host waits for late callers, Drain the bound on
	// its graceful shutdown.
	Linger sapphiredrum.Millis
	Drain  sapphiredrum.Millis
	// Writes is what all hosts together may write to the platform per second.
	Writes sapphiredrum.Rate
	// Body bounds a caller's request.
	Body sapphiredrum.Bytes
}

// LogLevel is the least severity that is logged.
type LogLevel string

// The log levels.
const (
	LogInfo  LogLevel = "info"
	LogDebug LogLevel = "debug"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Bounds of settings.
const (
	leastTTL                       = 100 * sapphiredrum.Millisecond
	maxTTL                         = 10 * sapphiredrum.Minute
	maxPoll                        = sapphiredrum.Minute
	maxDrain                       = sapphiredrum.Hour
	maxWrites   sapphiredrum.Rate  = 1e5
	maxBody     sapphiredrum.Bytes = 1 << 30
	allowedHost                    = "one [host] section"
)

// ParseSettings reads a host's settings and names every bad line. The settings
// are usable only when there are no faults.
func ParseSettings(text string) (Settings, []Fault) {
	d := parse(text)
	var settings Settings
	found := false
	for _, s := range d.sections {
		in := &reader{document: d, section: s}
		if s.header != "host" || found {
			in.fault(entry{line: s.line, value: s.header}, allowedHost)
			continue
		}
		found = true
		settings = readSettings(in)
	}
	if !found {
		d.fault(Fault{Allowed: allowedHost})
	}
	return settings, sortFaults(d.faults)
}

// readSettings reads the [host] section.
func readSettings(in *reader) Settings {
	in.need("name", "zone", "caller", "peer", "operator", "platform")
	s := Settings{
		Name:      name[sapphiredrum.HostID](in, "name"),
		Zone:      name[sapphiredrum.ZoneName](in, "zone"),
		Caller:    address(in, "caller"),
		Peer:      address(in, "peer"),
		Operator:  address(in, "operator"),
		Advertise: address(in, "advertise"),
		Platform:  address(in, "platform"),
		Seeds:     addresses(in, "seeds"),
		Log:       choice(in, "log", LogInfo, LogDebug, LogWarn, LogError),
		TTL:       whole(in, "ttl", leastTTL, maxTTL, 0),
		Poll:      whole(in, "poll", 1, maxPoll, 0),
		Linger:    whole(in, "linger", 1, maxDrain, 0),
		Drain:     whole(in, "drain", 1, maxDrain, 0),
		Writes:    fraction(in, "writes", 1, maxWrites),
		Body:      whole(in, "body", 1, maxBody, 0),
	}
	s.Drift = whole(in, "drift", 1, max(s.TTL/2, 1), 0)
	if s.TTL == 0 {
		in.refuse("drift", "no drift without a ttl")
	}
	if s.Advertise == "" {
		s.Advertise = s.Peer
		if unspecified(s.Peer) {
			in.faultAt("advertise", "an address that peers can reach, since peer is none")
		}
	}
	for _, key := range []string{"advertise", "platform"} {
		if e, found := in.find(key); found && unspecified(sapphiredrum.Address(e.value)) {
			in.fault(e, allowedAddress)
		}
	}
	checkListeners(in)
	in.end()
	return s
}

// checkListeners names an address as bad on which another listener listens.
func checkListeners(in *reader) {
	used := newLinks()
	for _, key := range []string{"caller", "peer", "operator"} {
		if e, found := in.find(key); found {
			used.claim(in, e, "listener", e.value)
		}
	}
}
