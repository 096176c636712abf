package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"text/tabwriter"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/launcher"
	"sapphiredrum.example/sapphiredrum/leaser"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// Hosts lists the hosts that are registered in the platform's table.
func (d *Desk) Hosts(ctx context.Context) ([]leaser.HostRow, error) {
	rows, _, err := d.Committer.Table.Changes(ctx, hostPrefix, 0)
	if err != nil {
		return nil, err
	}
	var hosts []leaser.HostRow
	for _, row := range rows {
		var host leaser.HostRow
		if row.Version > 0 && json.Unmarshal(row.Value, &host) == nil && !host.Lapsed {
			hosts = append(hosts, host)
		}
	}
	sort.Slice(hosts, func(a, b int) bool {
		if hosts[a].Zone != hosts[b].Zone {
			return hosts[a].Zone < hosts[b].Zone
		}
		return hosts[a].Host < hosts[b].Host
	})
	return hosts, nil
}

// Status asks every registered host how it is and prints a table of the answers.
// Hosts that do not answer are listed as such.
func (d *Desk) Status(ctx context.Context, client *messenger.Client) error {
	head, sheet, err := d.Committer.Head(ctx)
	if err != nil {
		return err
	}
	hosts, err := d.Hosts(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Output, "revision %d by %s: %s\n\n", head.Revision, head.Author, head.Note)
	table := tabwriter.NewWriter(d.Output, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tHOST\tADDRESS\tSTATE\tREVISION\tSHARDS\tOPEN")
	for _, h := range hosts {
		attempt, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
		s, err := messenger.Ask[launcher.StatusQuestion, launcher.Status](attempt, client, h.Address, "status", launcher.StatusQuestion{})
		cancel()
		if err != nil {
			fmt.Fprintf(table, "%s\t%s\t%s\tno answer\t\t\t\n", h.Zone, h.Host, h.Address)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", h.Zone, h.Host, h.Address, stateOf(s, h), s.Revision, s.Shards, s.Open)
	}
	if err := table.Flush(); err != nil {
		return sd.Unavailable.Wrap(err, "print the table")
	}
	d.zones(sheet)
	return nil
}

// zones prints the plan of every availability zone.
func (d *Desk) zones(sheet sd.Config) {
	fmt.Fprintln(d.Output)
	for _, z := range sheet.Zones {
		targets := 0
		for _, t := range sheet.Targets {
			if t.Zone == z.Name {
				targets++
			}
		}
		plan := "in"
		if z.Drained {
			plan = "out from " + z.DrainedFrom.Time().Format(dateFormat)
		}
		fmt.Fprintf(d.Output, "zone %s: %s, %d targets\n", z.Name, plan, targets)
	}
}

// stateOf returns a host's state in a word.
func stateOf(s launcher.Status, h leaser.HostRow) string {
	switch {
	case h.Leaving:
		return "leaving"
	case !s.Reaches:
		return "cut off"
	case !s.Ready:
		return "not ready"
	}
	return "ready"
}

const (
	hostPrefix    sd.RowKey = "host/"
	statusTimeout           = 2 * sd.Second
)
