package limiter_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/limiter"
)

// fleet is one host in each of seven zones; each holds all shards of its zone.
type fleet struct {
	hosts      map[sapphiredrum.ZoneName]*limiter.State
	zones      []sapphiredrum.Zone
	workspaces []sapphiredrum.Workspace
	now        sapphiredrum.Instant
	messages   int
	bytes      int
}

func newFleet(workspaces int) *fleet {
	f := &fleet{hosts: map[sapphiredrum.ZoneName]*limiter.State{}, now: 1000}
	for i := range 7 {
		f.zones = append(f.zones, sapphiredrum.Zone{Name: sapphiredrum.ZoneName(fmt.Sprintf("zone-%d", i))})
	}
	for i := range workspaces {
		id := sapphiredrum.WorkspaceID(fmt.Sprintf("workspace-%04d", i))
		f.workspaces = append(f.workspaces, sapphiredrum.Workspace{ID: id, Rate: 1000, Burst: 1000})
	}
	for i, z := range f.zones {
		s := limiter.New(limiter.Settings{}, sapphiredrum.NewIncarnation())
		s.Configure(f.now, 1, f.workspaces, f.zones)
		s.RenewLease(f.now, 1<<40)
		for n := range sapphiredrum.ShardsPerZone {
			s.AddShard(f.now, sapphiredrum.ShardID{Zone: z.Name, Number: n}, sapphiredrum.Epoch(i+1), true)
		}
		f.hosts[z.Name] = s
	}
	return f
}

// round lets every home renew all its loans once.
func (f *fleet) round(b *testing.B) {
	f.now = f.now.Add(700)
	for _, z := range f.zones {
		for _, ask := range f.hosts[z.Name].Tick(f.now) {
			grant := f.hosts[ask.Lender.Zone].Lend(f.now, ask)
			f.hosts[z.Name].Receive(f.now, grant)
			if b == nil {
				f.weigh(ask)
				f.weigh(grant)
			}
		}
	}
}

func (f *fleet) weigh(message any) {
	text, _ := json.Marshal(message)
	f.messages++
	f.bytes += len(text)
}

var sizes = []int{8, 430, 1720}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n)
			for range 8 {
				f.round(b)
			}
			homes := make([]sapphiredrum.ShardID, n)
			for i, w := range f.workspaces {
				homes[i] = limiter.Accounts(w.ID, f.zones)[0]
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				f.hosts[homes[i%n].Zone].Admit(f.now.Add(sapphiredrum.Millis(i/n)), f.workspaces[i%n].ID, homes[i%n])
			}
		})
	}
}

// BenchmarkRenew runs one Tick, Lend and Receive for all loans of all homes and
// reports the time per loan, that is for each workspace and lending zone.
func BenchmarkRenew(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n)
			for range 8 {
				f.round(b)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.round(b)
			}
			loans := float64(b.N * n * (len(f.zones) - 1))
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/loans, "ns/loan")
		})
	}
}

// BenchmarkSize reports the memory of an account and the size of the loan messages.
func BenchmarkSize(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := newFleet(n)
			for range 8 {
				f.round(b)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			f.round(nil)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n*len(f.zones)), "B/account")
			b.ReportMetric(float64(f.bytes)/float64(f.messages), "B/message")
			b.ReportMetric(float64(f.messages)/float64(n), "messages/workspace")
			b.ReportMetric(float64(f.bytes)/float64(n), "B/workspace")
			runtime.KeepAlive(f)
		})
	}
}
