package estimator

import (
	"encoding/json"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/limiter"
)

// lendInterval is the time between two renewals of a loan.
const lendInterval = limiter.DefaultLoanDuration / 3

// accounts is one host in each zone that holds all accounts of its zone.
type accounts struct {
	hosts      []*limiter.State
	zones      []sapphiredrum.Zone
	workspaces []sapphiredrum.Workspace
	now        sapphiredrum.Instant
	messages   int
	bytes      float64
}

// newAccounts lets all homes borrow what they can.
func newAccounts(workspaces, zones int) *accounts {
	a := &accounts{now: 1000}
	for i := range zones {
		a.zones = append(a.zones, sapphiredrum.Zone{Name: zoneName(i)})
	}
	for i := range workspaces {
		a.workspaces = append(a.workspaces, sapphiredrum.Workspace{ID: workspaceName(i), Rate: 1000, Burst: 1000})
	}
	for i := range zones {
		s := limiter.New(limiter.Settings{}, sapphiredrum.Incarnation(i+1))
		s.Configure(a.now, 1, a.workspaces, a.zones)
		s.RenewLease(a.now, 1<<40)
		for n := range sapphiredrum.ShardsPerZone {
			s.AddShard(a.now, sapphiredrum.ShardID{Zone: zoneName(i), Number: n}, sapphiredrum.Epoch(i+1), true)
		}
		a.hosts = append(a.hosts, s)
	}
	for range 8 {
		a.round(false)
	}
	return a
}

// round renews every loan once; weighed rounds count messages.
func (a *accounts) round(weighed bool) {
	a.now = a.now.Add(lendInterval + 34)
	for _, home := range a.hosts {
		for _, ask := range home.Tick(a.now) {
			for i, z := range a.zones {
				if z.Name != ask.Lender.Zone {
					continue
				}
				grant := a.hosts[i].Lend(a.now, ask)
				home.Receive(a.now, grant)
				if weighed {
					a.messages++
					a.bytes += size(ask) + size(grant)
				}
			}
		}
	}
}

// question is the admitter's.
type question struct {
	Workspace sapphiredrum.WorkspaceID
	Account   sapphiredrum.ShardID
}

// home measures the accounts of workspaces, as homes and as lenders.
func home(t Size) Role {
	r := Role{
		Name:       "home account and lender",
		State:      "an account for each workspace whose shard the host holds; the loans of the homes",
		Mechanism:  "one bucket a workspace at its home, made of the zones' shares, lent for two seconds and renewed three times in that; no table writes",
		Unmeasured: "the admitter's calls and its list of hosts that did not answer; a request asks more than one account while a zone is away",
	}
	sizes := []int{50, 200, 430, 860}
	state := r.measure("state of all accounts of seven zones", "bytes", "workspaces", sizes, func(n int) float64 {
		return weigh(func() *accounts { return newAccounts(n, t.Zones) })
	})
	admit := r.measure("admit a request", "us", "workspaces", sizes, func(n int) float64 {
		a := newAccounts(n, t.Zones)
		return cost(func(i int) {
			w := a.workspaces[i%n].ID
			account := limiter.Accounts(w, a.zones)[0]
			for z := range a.zones {
				if a.zones[z].Name == account.Zone {
					a.hosts[z].Admit(a.now.Add(sapphiredrum.Millis(i/n)), w, account)
				}
			}
		})
	})
	renew := r.measure("renew all loans once (Tick, Lend, Receive)", "us", "workspaces", sizes, func(n int) float64 {
		a := newAccounts(n, t.Zones)
		return cost(func(int) { a.round(false) })
	})
	var bytes Line
	messages := r.measure("Asks of one renewal of all loans", "messages", "workspaces", sizes, func(n int) float64 {
		a := newAccounts(n, t.Zones)
		a.round(true)
		return float64(a.messages)
	})
	bytes = r.measure("Asks and Grants of one renewal of all loans", "bytes", "workspaces", sizes, func(n int) float64 {
		a := newAccounts(n, t.Zones)
		a.round(true)
		return a.bytes
	})
	r.atHome(t, state, admit, renew, messages, bytes)
	return r
}

// atHome adds the accounts' figures at a size.
func (r *Role) atHome(t Size, state, admit, renew, messages, bytes Line) {
	w, hosts := float64(t.Workspaces), float64(t.Hosts)
	rounds := 1 / seconds(lendInterval)
	asks := messages.At(w) * rounds / hosts
	r.add(Memory, Standing, state.At(w)/hosts, "%.0f bytes at %.0f workspaces / %d hosts", state.At(w), w, t.Hosts)
	r.add(Exchanges, Standing, asks, "%.0f Asks x %.1f rounds/s / %d hosts", messages.At(w), rounds, t.Hosts)
	r.add(Traffic, Standing, bytes.At(w)*rounds/hosts+asks*(HeaderBytes+ReplyBytes),
		"%.0f bytes x %.1f rounds/s / %d hosts + %.1f/s x %d bytes of headers", bytes.At(w), rounds, t.Hosts, asks, HeaderBytes+ReplyBytes)
	r.add(Processor, Standing, renew.At(w)*rounds/hosts, "%.0f us x %.1f rounds/s / %d hosts", renew.At(w), rounds, t.Hosts)
	shard := sapphiredrum.ShardID{Zone: zoneName(0), Number: 63}
	ask, verdict := size(question{Workspace: workspaceName(1), Account: shard}), size(limiter.Decision{Admitted: true})
	r.add(Exchanges, PerCall, t.PerHost(), "one admission a request")
	r.add(Traffic, PerCall, t.PerHost()*(ask+verdict+HeaderBytes+ReplyBytes), "%.1f requests/s x (%.0f + %.0f + %d bytes)", t.PerHost(), ask, verdict, HeaderBytes+ReplyBytes)
	r.add(Processor, PerCall, t.PerHost()*admit.At(w), "%.1f requests/s x %.1f us", t.PerHost(), admit.At(w))
	most := t.FullestShards() * w / sapphiredrum.ShardsPerZone
	r.peak(Exchanges, PerCall, most*t.Requests/w, "a host with %.0f shards keeps %.0f homes if all were in its zone; an even workspace has %.0f requests/s",
		t.FullestShards(), most, t.Requests/w)
	largest := LargestWorkspace * t.Requests
	r.peak(Traffic, PerCall, largest*(ask+verdict+HeaderBytes+ReplyBytes), "the home of a workspace with %.0f%% of all requests: %.0f/s", 100*LargestWorkspace, largest)
	r.peak(Processor, PerCall, largest*(admit.At(w)+exchangeCost(int(ask))/2), "the same: %.0f/s x (%.1f us + one side of an exchange)", largest, admit.At(w))
}

// pass encodes and decodes a message.
func pass[T any](message T) {
	text, _ := json.Marshal(message)
	var read T
	_ = json.Unmarshal(text, &read)
}
