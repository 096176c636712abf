package starter

import sd "sapphiredrum.example/sapphiredrum"

// NewOver builds a host that reaches targets through a dialer of the test's own.
var NewOver = newHost

// SetRemovalAge sets the silence after which the rows of other hosts are removed.
func (h *Host) SetRemovalAge(age sd.Millis) { h.removalAge = age }

// SetSuspendAfter sets how long a host that is cut off admits requests.
func (h *Host) SetSuspendAfter(limit sd.Millis) { h.suspendAfter = limit }
