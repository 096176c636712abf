package loader

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"sapphiredrum.example/sapphiredrum"
)

// reader reads the entries of one section as typed values and collects faults.
type reader struct {
	document *document
	section  *section
	// asked are the keys that the section may have.
	asked []string
}

// Descriptions of allowed values.
const (
	allowedName     = "1 to 64 of a-z, 0-9, - and _"
	allowedFlag     = "true or false"
	allowedAddress  = "an IP number and port, such as 10.0.0.1:8080"
	allowedDate     = "a date and time as in RFC 3339, such as 2026-01-31T08:00:00Z"
	allowedPresence = "a value: the key is required"
)

// number is a type that whole reads.
type number interface{ ~int | ~int64 }

// entry returns the section's entry with the key and notes that it may be there.
func (r *reader) entry(key string) (entry, bool) {
	r.asked = append(r.asked, key)
	return r.find(key)
}

// find returns the section's entry with the key.
func (r *reader) find(key string) (entry, bool) {
	for _, e := range r.section.entries {
		if e.key == key {
			return e, true
		}
	}
	return entry{line: r.section.line, key: key}, false
}

// need names a key that must be there as missing.
func (r *reader) need(keys ...string) {
	for _, key := range keys {
		if e, found := r.find(key); !found {
			r.fault(e, allowedPresence)
		}
	}
}

// refuse names an entry as bad that may not be there.
func (r *reader) refuse(key, allowed string) {
	if e, found := r.find(key); found {
		r.fault(e, allowed)
	}
}

// faultAt names the entry with a key as bad.
func (r *reader) faultAt(key, allowed string) {
	e, _ := r.find(key)
	r.fault(e, allowed)
}

// fault names an entry as bad.
func (r *reader) fault(e entry, allowed string) {
	r.document.fault(Fault{Line: e.line, Section: r.section.header, Key: e.key, Found: e.value, Allowed: allowed})
}

// end names the entries that no one asked for.
func (r *reader) end() {
	for _, e := range r.section.entries {
		known := false
		for _, key := range r.asked {
			known = known || key == e.key
		}
		if !known {
			r.fault(e, "one of the keys "+strings.Join(r.asked, ", "))
		}
	}
}

// text reads a value that valid accepts; a missing one is empty.
func text[T ~string](r *reader, key string, valid func(string) bool, allowed string) T {
	e, found := r.entry(key)
	if found && !valid(e.value) {
		r.fault(e, allowed)
		return ""
	}
	return T(e.value)
}

// name reads a name.
func name[T ~string](r *reader, key string) T {
	return text[T](r, key, sapphiredrum.ValidName, allowedName)
}

// choice reads one of the given values; a missing one is the first.
func choice[T ~string](r *reader, key string, values ...T) T {
	e, found := r.entry(key)
	if !found {
		return values[0]
	}
	var list []string
	for _, v := range values {
		if string(v) == e.value {
			return v
		}
		list = append(list, string(v))
	}
	r.fault(e, "one of "+strings.Join(list, ", "))
	return values[0]
}

// address reads an IP number and port.
func address(r *reader, key string) sapphiredrum.Address {
	return text[sapphiredrum.Address](r, key, validAddress, allowedAddress)
}

// addresses reads addresses with commas between.
func addresses(r *reader, key string) []sapphiredrum.Address {
	e, found := r.entry(key)
	if !found {
		return nil
	}
	var list []sapphiredrum.Address
	for _, part := range strings.Split(e.value, ",") {
		part = strings.TrimSpace(part)
		if !validAddress(part) || unspecified(sapphiredrum.Address(part)) {
			r.fault(e, allowedAddress+", or several with commas between")
			return nil
		}
		list = append(list, sapphiredrum.Address(part))
	}
	return list
}

// flag reads true or false; a missing one is false.
func flag(r *reader, key string) bool {
	e, found := r.entry(key)
	if found && e.value != "true" && e.value != "false" {
		r.fault(e, allowedFlag)
	}
	return e.value == "true"
}

// whole reads a whole number from least to most; a missing one is other.
func whole[T number](r *reader, key string, least, most, other T) T {
	e, found := r.entry(key)
	if !found {
		return other
	}
	n, err := strconv.ParseInt(e.value, 10, 64)
	if err != nil || n < int64(least) || n > int64(most) {
		r.fault(e, fmt.Sprintf("a whole number from %d to %d", int64(least), int64(most)))
		return other
	}
	return T(n)
}

// fraction reads a number from least to most; a missing one is zero.
func fraction[T ~float64](r *reader, key string, least, most T) T {
	e, found := r.entry(key)
	if !found {
		return 0
	}
	n, err := strconv.ParseFloat(e.value, 64)
	if err != nil || math.IsNaN(n) || n < float64(least) || n > float64(most) {
		r.fault(e, fmt.Sprintf("a number from %v to %v", least, most))
		return 0
	}
	return T(n)
}

// date reads a date; a missing one is zero.
func date(r *reader, key string) sapphiredrum.WallTime {
	e, found := r.entry(key)
	if !found {
		return 0
	}
	moment, err := time.Parse(time.RFC3339, e.value)
	if err != nil {
		r.fault(e, allowedDate)
		return 0
	}
	return sapphiredrum.WallTime(moment.UnixMilli())
}

// validAddress reports whether text is an IP number and a port other than 0.
func validAddress(text string) bool {
	parsed, err := netip.ParseAddrPort(text)
	return err == nil && parsed.Port() != 0 && parsed.Addr().Zone() == "" && parsed.String() == text
}

// unspecified reports whether a valid address stands for all of a machine's.
func unspecified(address sapphiredrum.Address) bool {
	parsed, err := netip.ParseAddrPort(string(address))
	return err == nil && parsed.Addr().IsUnspecified()
}
