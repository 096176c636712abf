package measurer

import (
	"context"
	"io"
)

// Deployments returns both deployments of the brief.
func Deployments() []Deployment {
	return []Deployment{Potrdilo(), Consorzio()}
}

// Seeds returns the first count seeds.
func Seeds(count int) []uint64 {
	var seeds []uint64
	for i := range count {
		seeds = append(seeds, uint64(i)+1)
	}
	return seeds
}

// Report measures everything with the given number of seeds and prints the
// tables of docs/MEASURES.md: for each deployment the naive baselines and the
// shipped policy in all scenarios, the orders under overload, and the service
// around a zone's leaving and return.
func Report(ctx context.Context, out io.Writer, seeds, workers int) error {
	for _, d := range Deployments() {
		for _, s := range []Scenario{Calm(), Overload(), ZoneOut(), GuardDies()} {
			rows := Compare(ctx, d, s, append(Naive(), Shipped(d)), Seeds(seeds), workers)
			if err := tables(out, d, s, rows); err != nil {
				return err
			}
		}
		rows := Compare(ctx, d, Overload(), Orders(), Seeds(seeds), workers)
		if err := Table(out, d.Name+": orders, overload", Columns(), rows); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// tables prints the tables of one scenario.
func tables(out io.Writer, d Deployment, s Scenario, rows []Row) error {
	title := d.Name + ", " + s.Name
	if err := Table(out, title, Columns(), rows); err != nil {
		return err
	}
	if s.Flood > 1 {
		return Table(out, title+", by tier", TierColumns(d), rows)
	}
	if !s.ZoneOut && !s.GuardDies {
		return nil
	}
	if err := Table(out, title+", service", ServiceColumns(s), rows); err != nil {
		return err
	}
	if !s.ZoneOut {
		return nil
	}
	const before, after = 3, 12
	for _, moment := range []int{s.leaves(), s.returns()} {
		if err := Steps(out, title+", calls per second", moment-before, moment+after, rows); err != nil {
			return err
		}
	}
	return nil
}
