package launcher

import (
	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/forwarder"
	"sapphiredrum.example/sapphiredrum/leaser"
)

// Settings are what is local to a host. Everything shared is in the sheet.
type Settings struct {
	Name sd.HostID
	Zone sd.ZoneName
	// Caller, Peer and Operator are the addresses to listen on; Advertise is the
	// peer address that other hosts use, Peer itself if empty.
	Caller    sd.Address
	Peer      sd.Address
	Operator  sd.Address
	Advertise sd.Address
	// Seeds are peers to ask for the configuration while the platform is away.
	Seeds []sd.Address
	// TTL is the length of the host lease, Drift the bound on how far clocks part
	// within it.
	TTL   sd.Millis
	Drift sd.Millis
	// Poll is the time between reads of the configuration's head row.
	Poll sd.Millis
	// Writes is the number of grouped platform writes per second that all hosts
	// together may make.
	Writes sd.Rate
	// Body bounds a caller's request.
	Body sd.Bytes
	// Linger is how long no caller must have come before a host that leaves stops
	// listening.
	Linger sd.Millis
	// Drain bounds a graceful shutdown.
	Drain sd.Millis
}

// WithDefaults fills the settings that are zero.
func (s Settings) WithDefaults() Settings {
	if s.Advertise == "" {
		s.Advertise = s.Peer
	}
	fill(&s.TTL, defaultTTL)
	fill(&s.Drift, s.TTL/20)
	fill(&s.Poll, defaultPoll)
	fill(&s.Linger, defaultLinger)
	fill(&s.Drain, defaultDrain)
	if s.Writes == 0 {
		s.Writes = defaultWrites
	}
	if s.Body == 0 {
		s.Body = defaultBody
	}
	return s
}

// lease returns the settings of the host lease.
func (s Settings) lease(incarnation sd.Incarnation) leaser.Settings {
	return leaser.Settings{
		Host: s.Name, Zone: s.Zone, Address: s.Advertise, Incarnation: incarnation,
		TTL: s.TTL, Drift: s.Drift, Scan: min(s.TTL/4, longestScan), Grace: s.Drain,
	}
}

// forward returns the settings of the forwarder: its patience covers a takeover.
func (s Settings) forward() forwarder.Settings {
	return forwarder.Settings{Patience: 2*s.TTL + s.Drift}
}

// fill sets a length of time that is zero.
func fill(field *sd.Millis, value sd.Millis) {
	if *field == 0 {
		*field = value
	}
}

const (
	defaultTTL              = 3 * sd.Second
	defaultPoll             = sd.Second
	defaultLinger           = 2 * sd.Second
	defaultDrain            = 30 * sd.Second
	longestScan             = 2 * sd.Second
	defaultWrites  sd.Rate  = 200
	defaultBody    sd.Bytes = 4 << 20
	statusInterval          = sd.Second
)
