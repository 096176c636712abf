package launcher

import (
	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/forwarder"
	"sapphiredrum.example/sapphiredrum/leaser"
	"sapphiredrum.example/sapphiredrum/loader"
)

// complete fills the settings that are zero.
func complete(s loader.Settings) loader.Settings {
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

// leaseSettings returns the settings of the host lease.
func leaseSettings(s loader.Settings, incarnation sd.Incarnation) leaser.Settings {
	return leaser.Settings{
		Host: s.Name, Zone: s.Zone, Address: s.Advertise, Incarnation: incarnation,
		TTL: s.TTL, Drift: s.Drift, Scan: min(s.TTL/4, longestScan), Grace: s.Drain,
	}
}

// forwardSettings returns the settings of the forwarder: its patience covers a
// takeover.
func forwardSettings(s loader.Settings) forwarder.Settings {
	return forwarder.Settings{Patience: 2*s.TTL + s.Drift}
}

// fill sets a length of time that is zero.
func fill(field *sd.Millis, value sd.Millis) {
	if *field == 0 {
		*field = value
	}
}

const (
	defaultTTL             = 3 * sd.Second
	defaultPoll            = sd.Second
	defaultLinger          = 2 * sd.Second
	defaultDrain           = 30 * sd.Second
	longestScan            = 2 * sd.Second
	defaultWrites sd.Rate  = 200
	defaultBody   sd.Bytes = 4 << 20
)
