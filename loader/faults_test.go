package loader_test

import (
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"sapphiredrum.example/sapphiredrum/loader"
)

// digest is a digest of the right form.
var digest = "sha256:" + strings.Repeat("0a", 32)

// marked is a sheet in which each line that is bad ends with "#!" and the key, or
// the word section, that the fault is about.
var marked = `x = 1 #!x
[workspace a]
tier = 1
rate = 0 #!rate
burst = 0.5 #!burst
budget = 1e3 #!budget
weight = -1 #!weight
rate = 5 #!rate
[workspace b] #!budget
tier = 100 #!tier
rate = NaN #!rate
burst = 1
[workspace a] #!section
tier = 1
rate = 1
burst = 1
budget = 1
[key k]
workspace = c #!workspace
digest = ` + digest + `
withdrawn = yes #!withdrawn
[key l]
workspace = a
digest = ` + digest + ` #!digest
[route r]
path = /v1/chat
kind = model
group = none #!group
model = M #!model
cost = 5 #!cost
timeout = 1.5 #!timeout
[route s]
path = /v1/chat #!path
kind = batch #!kind
group = g
model = m
[route t]
path = /programs/x #!path
kind = service
group = g
model = m #!model
[target t]
address = localhost:80 #!address
zone = z9 #!zone
group = g
slots = 4
cold = 5 #!cold
[target u]
address = 10.0.0.1:80
zone = z1
group = g
slots = 0 #!slots
[target v]
address = 10.0.0.1:80 #!address
zone = z1
group = g
slots = 1
[target w]
address = 0.0.0.0:80 #!address
zone = z1
group = g
slots = 1
[zone z1]
region = r
from = 2026-01-31T08:00:00Z #!from
share = 0.5 #!share
[zone z2]
region = r
out = true
from = tomorrow #!from
share = 0.6 #!share
[zone z3] x #!section
region = r
[level 7] #!section
first = 1
gap = 0 #!gap
program = 1
refused = 1.1 #!refused
[level one] #!section
first = 1
gap = 1
program = 1
[policy x] #!section
order = random #!order
wait = -1 #!wait
`

// Every kind of fault is named at its line and key, and nothing else is.
func TestFaultsOfSheet(t *testing.T) {
	_, faults := loader.Sheet(marked)
	compareFaults(t, marked, faults)
	if err := loader.Check(faults); !errorx.IsOfType(err, loader.BadText) || strings.Count(err.Error(), "\n") != len(faults)-1 {
		t.Fatalf("the error does not name all: %v", err)
	}
}

// compareFaults compares faults with the marks of a text.
func compareFaults(t *testing.T, text string, faults []loader.Fault) {
	found := map[int][]string{}
	for _, f := range faults {
		key := f.Key
		if key == "" {
			key = "section"
		}
		found[f.Line] = append(found[f.Line], key)
	}
	for i, line := range strings.Split(text, "\n") {
		_, mark, _ := strings.Cut(line, "#!")
		got := strings.Join(found[i+1], " ")
		if mark != "" && !strings.Contains(" "+got+" ", " "+mark+" ") || mark == "" && got != "" {
			t.Errorf("line %d %q: faults %q", i+1, line, got)
		}
	}
}

// A host's settings get their defaults, and each bad line is named.
func TestSettings(t *testing.T) {
	good := "[host]\nname = h1\nzone = z\ncaller = 0.0.0.0:80\npeer = 10.0.0.1:81\noperator = 10.0.0.1:82\nplatform = 10.0.0.9:90\nttl = 1000\nseeds = 10.0.0.2:81, 10.0.0.3:81\n"
	settings, faults := loader.ParseSettings(good)
	if len(faults) > 0 || settings.Advertise != "10.0.0.1:81" || settings.TTL != 1000 || settings.Drift != 0 || settings.Log != loader.LogInfo || len(settings.Seeds) != 2 {
		t.Fatalf("%+v, %v", settings, faults)
	}
	bad := `[host] #!platform
name = H #!name
zone = z
caller = 10.0.0.1:80
peer = 0.0.0.0:81
operator = 10.0.0.1:80 #!operator
advertise = 0.0.0.0:81 #!advertise
log = loud #!log
ttl = 1000
drift = 501 #!drift
writes = 0 #!writes
zones = 3 #!zones
seeds = 10.0.0.2:81, h3:81 #!seeds
body = 0 #!body
[host] #!section
[other] #!section
`
	_, faults = loader.ParseSettings(bad)
	compareFaults(t, bad, faults)
	if _, faults = loader.ParseSettings(""); len(faults) != 1 {
		t.Fatalf("empty settings: %v", faults)
	}
	unreachable := strings.Replace(good, "peer = 10.0.0.1", "peer = 0.0.0.0", 1)
	if _, faults = loader.ParseSettings(unreachable); len(faults) != 1 || faults[0].Key != "advertise" {
		t.Fatalf("a peer address for all: %v", faults)
	}
}
